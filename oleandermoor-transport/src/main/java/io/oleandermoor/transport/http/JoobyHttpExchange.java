package io.oleandermoor.transport.http;

import io.jooby.Context;
import io.jooby.Sender;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** An exchange on Jooby. */
final class JoobyHttpExchange implements HttpExchange {

    private static final String FORM = "application/x-www-form-urlencoded";

    private final Context context;

    JoobyHttpExchange(Context context) {
        this.context = context;
    }

    @Override
    public String method() {
        return context.getMethod();
    }

    @Override
    public String path() {
        return context.getRequestPath();
    }

    @Override
    public Map<String, String> query() {
        return context.queryMap();
    }

    @Override
    public Optional<String> header(String name) {
        return context.header(name).toOptional();
    }

    @Override
    public Map<String, String> headers() {
        return context.headerMap();
    }

    @Override
    public byte[] body() {
        return isForm() ? formBody() : context.body().bytes();
    }

    @Override
    public void respond(HttpResponse response) {
        context.setResponseCode(response.status());
        response.headers().forEach(context::setResponseHeader);
        context.send(response.body());
    }

    @Override
    public EventStream startEventStream(Map<String, String> headers, Runnable onCallerGone) {
        context.setResponseCode(200);
        context.setResponseHeader(HttpResponse.CONTENT_TYPE, "text/event-stream");
        context.setResponseHeader("Cache-Control", "no-cache");
        headers.forEach(context::setResponseHeader);
        return new JoobyEventStream(context.responseSender(), onCallerGone);
    }

    private boolean isForm() {
        return header("Content-Type")
                .filter(type -> type.toLowerCase(Locale.ROOT).startsWith(FORM))
                .isPresent();
    }

    /** Jooby decodes forms and keeps no copy, so the body is encoded again. */
    private byte[] formBody() {
        StringBuilder body = new StringBuilder();
        context.form().toMultimap().forEach((name, values) -> {
            for (String value : values) {
                if (!body.isEmpty()) {
                    body.append('&');
                }
                body.append(URLEncoder.encode(name, StandardCharsets.UTF_8))
                        .append('=')
                        .append(URLEncoder.encode(value, StandardCharsets.UTF_8));
            }
        });
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static final class JoobyEventStream implements EventStream {

        private final Sender sender;

        private final Runnable onCallerGone;

        private final AtomicBoolean gone = new AtomicBoolean();

        JoobyEventStream(Sender sender, Runnable onCallerGone) {
            this.sender = sender;
            this.onCallerGone = onCallerGone;
        }

        @Override
        public void send(byte[] events) {
            if (gone.get()) {
                return;
            }
            sender.write(events, (context, failure) -> {
                if (failure != null && gone.compareAndSet(false, true)) {
                    onCallerGone.run();
                }
            });
        }

        @Override
        public void end() {
            if (!gone.get()) {
                sender.close();
            }
        }
    }
}
