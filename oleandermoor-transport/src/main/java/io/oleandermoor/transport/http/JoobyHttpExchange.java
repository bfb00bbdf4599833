package io.oleandermoor.transport.http;

import io.jooby.Context;
import io.jooby.Sender;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** An exchange on Jooby. */
final class JoobyHttpExchange implements HttpExchange {

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
        return context.body().bytes();
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
