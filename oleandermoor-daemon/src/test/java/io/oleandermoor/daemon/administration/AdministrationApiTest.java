package io.oleandermoor.daemon.administration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.operator.ChangeRequest;
import io.oleandermoor.operator.OperatorJson;
import io.oleandermoor.state.configuration.ApiKey;
import io.oleandermoor.state.configuration.Change;
import io.oleandermoor.state.configuration.ChangeSet;
import io.oleandermoor.state.configuration.Configuration;
import io.oleandermoor.state.configuration.Team;
import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.Severity;
import io.oleandermoor.state.identity.KeyHash;
import io.oleandermoor.state.identity.TeamName;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdministrationApiTest {

    private static final TeamName CAFE = new TeamName("cafe");
    private static final ApiKey KEY = new ApiKey("key-1", CAFE, KeyHash.of("secret"));

    private final Service service = new Service();
    private final AdministrationApi api = new AdministrationApi(service, KeyHash.of("credential"), 2000);

    private static String body() {
        ChangeSet changes = new ChangeSet(
                "change-1", "author", List.of(new Change.PutTeam(new Team(CAFE, 1, 2, 1)), new Change.IssueKey(KEY)));
        return OperatorJson.changeRequest(new ChangeRequest(changes, OptionalLong.of(0)));
    }

    private AdministrationResponse call(String method, String path, String body) {
        return api.handle(new AdministrationRequest(
                method, path, Optional.of("Bearer credential"), body.getBytes(StandardCharsets.UTF_8)));
    }

    private static JsonNode json(AdministrationResponse response) throws Exception {
        return new ObjectMapper().readTree(response.body());
    }

    private void assertError(AdministrationResponse response, int status, String code) throws Exception {
        assertThat(response.status()).isEqualTo(status);
        assertThat(json(response).path("error").path("code").asText()).isEqualTo(code);
        assertThat(json(response).path("error").path("message").asText()).isNotEmpty();
        assertThat(json(response).path("error").path("findings").isArray()).isTrue();
    }

    @Nested
    class Access {

        /** Guards against changes by callers that do not have the credential, and before the body is looked at. */
        @Test
        void needsTheCredential() throws Exception {
            for (Optional<String> header : List.of(
                    Optional.<String>empty(),
                    Optional.of("credential"),
                    Optional.of("Bearer "),
                    Optional.of("Bearer credentia"),
                    Optional.of("Bearer credential2"),
                    Optional.of("Basic credential"))) {
                byte[] large = new byte[5000];
                assertError(
                        api.handle(new AdministrationRequest("POST", "/admin/v1/changes", header, large)),
                        401,
                        "unauthorized");
            }
            assertThat(service.submitted).isZero();
        }

        /** Guards against bodies of any size being parsed. */
        @Test
        void limitsTheBody() throws Exception {
            assertError(call("POST", "/admin/v1/changes", " ".repeat(2001)), 413, "too_large");
        }

        /** Guards against wrong paths and methods being answered without the common form of an error. */
        @Test
        void refusesOtherPathsAndMethods() throws Exception {
            assertError(call("GET", "/admin/v1/other", ""), 404, "not_found");
            assertError(call("DELETE", "/admin/v1/changes", ""), 405, "method_not_allowed");
            assertError(call("POST", "/admin/v1/status", ""), 405, "method_not_allowed");
            assertError(call("GET", "/admin/v1/changes/a%20b", ""), 400, "invalid");
        }
    }

    @Nested
    class Submitting {

        /** Guards against a result of the service being reported with the wrong status. */
        @Test
        void reportsEachResult() throws Exception {
            service.result = new SubmitResult.Accepted(4);
            AdministrationResponse accepted = call("POST", "/admin/v1/changes", body());
            assertThat(accepted).isEqualTo(new AdministrationResponse(200, "{\"version\":4}"));

            service.result = new SubmitResult.Conflict(9);
            AdministrationResponse conflict = call("POST", "/admin/v1/changes", body());
            assertError(conflict, 409, "conflict");
            assertThat(json(conflict).path("currentVersion").asLong()).isEqualTo(9);

            service.result = new SubmitResult.Rejected(List.of(new Finding(Severity.ERROR, "teams[0]", "is wrong")));
            AdministrationResponse rejected = call("POST", "/admin/v1/changes", body());
            assertError(rejected, 400, "invalid");
            assertThat(json(rejected).at("/error/findings/0/place").asText()).isEqualTo("teams[0]");

            service.result = new SubmitResult.Unavailable("down");
            assertError(call("POST", "/admin/v1/changes", body()), 503, "unavailable");
            service.result = new SubmitResult.Unknown("lost");
            assertError(call("POST", "/admin/v1/changes", body()), 503, "unknown");
        }

        /** Guards against a malformed request reaching the service. */
        @Test
        void reportsFindingsOfTheRequest() throws Exception {
            AdministrationResponse response = call("POST", "/admin/v1/changes", "{\"changes\": []}");
            assertError(response, 400, "invalid");
            assertThat(json(response).at("/error/findings")).hasSize(3);
            assertThat(service.submitted).isZero();
        }

        /** Guards against a fault of the service closing the connection without an answer. */
        @Test
        void reportsFaultsAsErrors() throws Exception {
            service.fault = Optional.of(new IllegalStateException("fault"));
            assertError(call("POST", "/admin/v1/changes", body()), 500, "internal");
        }
    }

    @Nested
    class Reading {

        /** Guards against the full hash of a key leaving the process. */
        @Test
        void shortensHashesOfKeys() throws Exception {
            String text = call("GET", "/admin/v1/configuration", "").body();
            assertThat(text)
                    .contains(KEY.hash().value().substring(0, 8))
                    .doesNotContain(KEY.hash().value().substring(0, 9));
            assertThat(new ObjectMapper().readTree(text).path("version").asLong())
                    .isEqualTo(1);
        }

        /** Guards against an unknown outcome being reported as "not accepted". */
        @Test
        void distinguishesNotAcceptedFromUnknown() throws Exception {
            assertThat(call("GET", "/admin/v1/changes/change-1", "").body()).isEqualTo("{\"version\":1}");
            assertError(call("GET", "/admin/v1/changes/other", ""), 404, "not_found");
            assertError(call("GET", "/admin/v1/changes/unreadable", ""), 503, "unavailable");
        }

        /** Guards against a process missing from the status. */
        @Test
        void listsTheVersionOfEachProcess() throws Exception {
            JsonNode status = json(call("GET", "/admin/v1/status", ""));
            assertThat(status.at("/processes/0/process").asText()).isEqualTo("entry-1");
            assertThat(status.at("/processes/0/version").asLong()).isEqualTo(1);
            assertThat(status.path("version").asLong()).isEqualTo(1);
        }
    }

    /** A service with a fixed configuration and a chosen result. */
    private static final class Service implements ConfigurationService {

        private SubmitResult result = new SubmitResult.Unavailable("no result was set");
        private Optional<RuntimeException> fault = Optional.empty();
        private int submitted;

        @Override
        public SubmitResult submit(ChangeRequest request) {
            submitted++;
            fault.ifPresent(exception -> {
                throw exception;
            });
            return result;
        }

        @Override
        public Configuration current() {
            try {
                return Configuration.empty()
                        .apply(new ChangeSet(
                                "change-1",
                                "author",
                                List.of(new Change.PutTeam(new Team(CAFE, 1, 2, 1)), new Change.IssueKey(KEY))));
            } catch (io.oleandermoor.state.finding.InvalidInputException exception) {
                throw new AssertionError(exception);
            }
        }

        @Override
        public OptionalLong find(String changeId) throws ConfigurationUnavailableException {
            if (changeId.equals("unreadable")) {
                throw new ConfigurationUnavailableException("the key-value service is down");
            }
            return changeId.equals("change-1") ? OptionalLong.of(1) : OptionalLong.empty();
        }

        @Override
        public List<ProcessStatus> status() {
            return List.of(new ProcessStatus("entry-1", "entry", "domain-1", "READY", 1));
        }
    }
}
