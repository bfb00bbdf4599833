package io.oleandermoor.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** A stream of a caller that is read in the background. Safe for use by several threads. */
final class StreamCall {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final StringBuilder text = new StringBuilder();
    private final CompletableFuture<String> end = new CompletableFuture<>();

    private StreamCall() {}

    static StreamCall start(HttpClient client, URI address, String key, String prompt, int tokens) {
        StreamCall call = new StreamCall();
        HttpRequest request = HttpRequest.newBuilder(address.resolve("/v1/chat/completions"))
                .header("Authorization", "Bearer " + key)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(TestFleet.completion("model-1", prompt, tokens, true)))
                .build();
        var unused = client.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
                .whenComplete((response, failure) -> {
                    if (failure != null) {
                        call.end.complete("failed: " + failure);
                    } else {
                        call.read(response);
                    }
                });
        return call;
    }

    /** Returns the text so far. */
    synchronized String text() {
        return text.toString();
    }

    int tokens() {
        return (int) text().chars().filter(character -> character == ' ').count();
    }

    boolean isDone() {
        return end.isDone();
    }

    /** Returns {@code complete}, or the error with which the stream ended. */
    String end() {
        return end.getNow("running");
    }

    private void read(HttpResponse<Stream<String>> response) {
        try (Stream<String> lines = response.body()) {
            StringBuilder error = new StringBuilder();
            lines.forEach(line -> {
                if (response.statusCode() != 200) {
                    error.append(line);
                } else {
                    event(line);
                }
            });
            end.complete(error.isEmpty() ? "cut off" : response.statusCode() + " " + error);
        } catch (RuntimeException exception) {
            end.complete("failed: " + exception);
        }
    }

    private void event(String line) {
        if (line.equals("data: [DONE]")) {
            end.complete("complete");
        } else if (line.startsWith("data: ")) {
            JsonNode event = parse(line.substring("data: ".length()));
            if (event == null || event.has("error")) {
                end.complete(line);
                return;
            }
            synchronized (this) {
                text.append(event.at("/choices/0/delta/content").asText());
            }
        }
    }

    private static @Nullable JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (java.io.IOException exception) {
            return null;
        }
    }
}
