package io.oleandermoor.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.standin.engine.EngineTokens;
import java.io.IOException;
import okhttp3.Response;
import okio.BufferedSource;

/** Reads the answer to one request and compares it with the tokens that the engine stand-in generates. */
final class AnswerCheck {

    private static final String DATA = "data: ";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LoadReport report;

    private final String expected;

    private final int tokens;

    private final long sentNanos;

    private final StringBuilder text = new StringBuilder();

    private long lastNanos;

    AnswerCheck(LoadReport report, String prompt, int tokens, long sentNanos) {
        this.report = report;
        this.expected = EngineTokens.text(prompt, tokens);
        this.tokens = tokens;
        this.sentNanos = sentNanos;
    }

    void read(Response response) throws IOException {
        BufferedSource source = response.body().source();
        if (response.code() != 200) {
            report.refused(response.code() + " " + code(MAPPER.readTree(source.readByteArray())));
            return;
        }
        String type = response.header("Content-Type", "");
        if (type.startsWith("text/event-stream")) {
            readEvents(source);
        } else {
            received(MAPPER.readTree(source.readByteArray())
                    .at("/choices/0/message/content")
                    .asText());
            judge();
        }
    }

    private void readEvents(BufferedSource source) throws IOException {
        String line;
        while ((line = source.readUtf8Line()) != null) {
            if (!line.startsWith(DATA)) {
                continue;
            }
            String data = line.substring(DATA.length());
            if (data.equals("[DONE]")) {
                judge();
                return;
            }
            JsonNode event = MAPPER.readTree(data);
            if (event.has("error")) {
                endEarly("in stream: " + code(event));
                return;
            }
            received(event.at("/choices/0/delta/content").asText());
        }
        endEarly("stream cut off");
    }

    private void received(String part) {
        if (part.isEmpty()) {
            return;
        }
        long now = System.nanoTime();
        if (text.isEmpty()) {
            report.firstToken(now - sentNanos);
        } else {
            report.betweenTokens(now - lastNanos);
        }
        lastNanos = now;
        text.append(part);
    }

    /** Judges an answer that says that it is complete. */
    private void judge() {
        if (text.toString().equals(expected)) {
            report.complete(tokens);
        } else {
            report.wrong();
        }
    }

    /** An answer that ends early is an error; it is wrong only if what was received so far is wrong. */
    void endEarly(String kind) {
        if (expected.startsWith(text.toString())) {
            report.error(kind);
        } else {
            report.wrong();
        }
    }

    private static String code(JsonNode body) {
        return body.at("/error/code").asText("without code");
    }
}
