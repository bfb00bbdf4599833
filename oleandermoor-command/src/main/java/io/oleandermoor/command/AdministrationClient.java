package io.oleandermoor.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.daemon.administration.ProcessStatus;
import io.oleandermoor.daemon.administration.SubmitResult;
import io.oleandermoor.operator.ChangeRequest;
import io.oleandermoor.operator.ConfigurationListing;
import io.oleandermoor.operator.OperatorJson;
import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.finding.Severity;
import io.oleandermoor.transport.json.ExactJson;
import io.oleandermoor.transport.settings.Address;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** Client of the admin API of an entry. Not safe for use by several threads. */
final class AdministrationClient implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final long BODY_LIMIT_BYTES = 64L << 20;
    private static final int QUESTIONS = 5;

    private final OkHttpClient http;
    private final String base;
    private final String credential;
    private final Duration retryWait;

    AdministrationClient(Address address, String credential, Duration retryWait) {
        // Without retries by the library, a lost answer is seen here and asked about by change id.
        this.http = new OkHttpClient.Builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .callTimeout(CALL_TIMEOUT)
                .readTimeout(CALL_TIMEOUT)
                .retryOnConnectionFailure(false)
                .build();
        this.base = "http://" + address + "/admin/v1/";
        this.credential = credential;
        this.retryWait = retryWait;
    }

    /** An answer of the entry. */
    private record Answer(int status, String text) {

        JsonNode json() {
            try {
                return MAPPER.readTree(text);
            } catch (JsonProcessingException exception) {
                // An answer of another program, such as a load balancer.
                return MAPPER.missingNode();
            }
        }

        String code() {
            return json().at("/error/code").asText();
        }

        String message() {
            return json().at("/error/message").asText("status " + status);
        }
    }

    /** Submits changes. {@link SubmitResult.Unknown} means that the answer was lost or the entry does not know. */
    SubmitResult submit(ChangeRequest request) throws CommandFailedException {
        Answer answer;
        try {
            answer = call(request("changes")
                    .post(RequestBody.create(OperatorJson.changeRequest(request), JSON))
                    .build());
        } catch (ConnectException exception) {
            return new SubmitResult.Unavailable("cannot connect: " + exception.getMessage());
        } catch (IOException exception) {
            return new SubmitResult.Unknown("the answer was lost: " + exception.getMessage());
        }
        return switch (answer.status()) {
            case 200 -> accepted(answer);
            case 202 ->
                new SubmitResult.RevokedForNow(
                        answer.json().path("otherEntries").asInt());
            case 409 -> new SubmitResult.Conflict(version(answer.json().path("currentVersion")));
            case 400 -> new SubmitResult.Rejected(findings(answer));
            case 401, 404, 405, 413 -> throw failure(answer);
            default ->
                answer.code().equals("unavailable")
                        ? new SubmitResult.Unavailable(answer.message())
                        : new SubmitResult.Unknown(answer.message());
        };
    }

    /**
     * Asks at which version changes were accepted, several times if the entry cannot say or says that they are not.
     * Empty means that they were not accepted when last asked.
     */
    OptionalLong find(String changeId) throws CommandFailedException, IOException {
        IOException last = new IOException("no answer");
        boolean notAccepted = false;
        for (int question = 0; question < QUESTIONS; question++) {
            if (question > 0) {
                pause();
            }
            try {
                Answer answer = call(request("changes/" + changeId).build());
                OptionalLong version = ExactJson.wholeNumber(answer.json().path("version"));
                if (answer.status() == 200 && version.isPresent()) {
                    return version;
                }
                notAccepted = answer.status() == 404 && answer.code().equals("not_found");
                if (answer.status() == 401) {
                    throw failure(answer);
                }
                last = new IOException(answer.message());
            } catch (IOException exception) {
                notAccepted = false;
                last = exception;
            }
        }
        if (notAccepted) {
            return OptionalLong.empty();
        }
        throw last;
    }

    /** Returns the configuration in force. */
    ConfigurationListing configuration() throws CommandFailedException, IOException {
        Answer answer = get("configuration");
        try {
            return ConfigurationListing.read(answer.text().getBytes(StandardCharsets.UTF_8));
        } catch (InvalidInputException exception) {
            throw new CommandFailedException("the answer of the entry is not valid: " + exception.getMessage());
        }
    }

    /** Returns which version is in force in which process. */
    List<ProcessStatus> status() throws CommandFailedException, IOException {
        List<ProcessStatus> result = new ArrayList<>();
        for (JsonNode process : get("status").json().path("processes")) {
            result.add(new ProcessStatus(
                    process.path("process").asText(),
                    process.path("role").asText(),
                    process.path("failureDomain").asText(),
                    process.path("status").asText(),
                    version(process.path("version"))));
        }
        return result;
    }

    /** Ends the threads of the HTTP client, so that the program can exit. */
    @Override
    public void close() {
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    private Answer get(String path) throws CommandFailedException, IOException {
        Answer answer = call(request(path).build());
        if (answer.status() != 200) {
            throw failure(answer);
        }
        return answer;
    }

    private Request.Builder request(String path) {
        return new Request.Builder().url(base + path).header("Authorization", "Bearer " + credential);
    }

    private Answer call(Request request) throws IOException {
        try (Response response = http.newCall(request).execute()) {
            BufferedSource source = response.body().source();
            if (source.request(BODY_LIMIT_BYTES + 1)) {
                throw new IOException("the answer is larger than " + BODY_LIMIT_BYTES + " bytes");
            }
            return new Answer(response.code(), source.readUtf8());
        }
    }

    private void pause() throws IOException {
        try {
            Thread.sleep(retryWait.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", exception);
        }
    }

    /** Returns a version, or 0 where none is in force. */
    private static long version(JsonNode node) {
        return ExactJson.wholeNumber(node).orElse(0);
    }

    private static SubmitResult accepted(Answer answer) {
        OptionalLong version = ExactJson.wholeNumber(answer.json().path("version"));
        return version.isPresent()
                ? new SubmitResult.Accepted(version.getAsLong())
                : new SubmitResult.Unknown("the answer has no version");
    }

    private static List<Finding> findings(Answer answer) {
        List<Finding> findings = new ArrayList<>();
        for (JsonNode finding : answer.json().at("/error/findings")) {
            Severity severity = finding.path("severity").asText().equals("WARNING") ? Severity.WARNING : Severity.ERROR;
            findings.add(new Finding(
                    severity,
                    finding.path("place").asText(),
                    finding.path("message").asText()));
        }
        if (findings.isEmpty()) {
            findings.add(new Finding(Severity.ERROR, "request", answer.message()));
        }
        return findings;
    }

    private static CommandFailedException failure(Answer answer) {
        return new CommandFailedException("the entry answered: " + answer.message());
    }
}
