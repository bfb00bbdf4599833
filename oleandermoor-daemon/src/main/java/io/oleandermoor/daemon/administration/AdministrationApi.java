package io.oleandermoor.daemon.administration;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.oleandermoor.operator.ChangeRequestReader;
import io.oleandermoor.operator.OperatorJson;
import io.oleandermoor.state.finding.Finding;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.Identifiers;
import io.oleandermoor.state.identity.KeyHash;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The admin API of an entry, independent of the HTTP server. Every error has the form
 * {@code {"error":{"code","message","findings"}}}. Safe for use by several threads.
 */
public final class AdministrationApi {

    private static final Logger LOGGER = LogManager.getLogger(AdministrationApi.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CHANGES = "/admin/v1/changes";
    private static final String CONFIGURATION = "/admin/v1/configuration";
    private static final String STATUS = "/admin/v1/status";
    private static final String BEARER = "Bearer ";

    private final ConfigurationService service;
    private final KeyHash credentialHash;
    private final int bodyLimitBytes;
    private final ChangeRequestReader reader;

    /**
     * Creates the API.
     *
     * @param service the configuration
     * @param credentialHash the hash of the credential that operators present
     * @param bodyLimitBytes size of the largest accepted body, in bytes; positive. An accepted change set is one value
     *     of the key-value service, so the limit stays below 1 MB
     */
    public AdministrationApi(ConfigurationService service, KeyHash credentialHash, int bodyLimitBytes) {
        this.service = Objects.requireNonNull(service, "service");
        this.credentialHash = Objects.requireNonNull(credentialHash, "credentialHash");
        this.bodyLimitBytes = bodyLimitBytes;
        this.reader = new ChangeRequestReader(bodyLimitBytes);
    }

    /**
     * Returns the size of the largest accepted body.
     *
     * @return bytes
     */
    public int bodyLimitBytes() {
        return bodyLimitBytes;
    }

    /**
     * Handles a request.
     *
     * @param request the request
     * @return the response; never throws
     */
    public AdministrationResponse handle(AdministrationRequest request) {
        if (!isAuthorized(request.authorization())) {
            return error(ErrorCode.UNAUTHORIZED, "the administration credential is missing or wrong", List.of());
        }
        if (request.body().length > bodyLimitBytes) {
            return error(
                    ErrorCode.TOO_LARGE,
                    "the body is larger than the limit of " + bodyLimitBytes + " bytes",
                    List.of());
        }
        try {
            return route(request);
        } catch (RuntimeException exception) {
            LOGGER.error("event=admin-request-failed request=\"{}\"", request, exception);
            return error(ErrorCode.INTERNAL, "the request failed; its effect is unknown", List.of());
        }
    }

    private AdministrationResponse route(AdministrationRequest request) {
        String path = request.path();
        if (path.equals(CHANGES)) {
            return request.method().equals("POST") ? submit(request) : wrongMethod("POST");
        }
        boolean known = path.equals(CONFIGURATION) || path.equals(STATUS) || path.startsWith(CHANGES + "/");
        if (!known) {
            return error(ErrorCode.NOT_FOUND, "there is nothing at " + path, List.of());
        }
        if (!request.method().equals("GET")) {
            return wrongMethod("GET");
        }
        if (path.equals(CONFIGURATION)) {
            return new AdministrationResponse(200, OperatorJson.listing(service.current()));
        }
        return path.equals(STATUS) ? status() : find(path.substring(CHANGES.length() + 1));
    }

    private AdministrationResponse submit(AdministrationRequest request) {
        try {
            return describe(service.submit(reader.read(request.body())));
        } catch (InvalidInputException exception) {
            return error(ErrorCode.INVALID, "the request is not valid", exception.findings());
        }
    }

    private static AdministrationResponse describe(SubmitResult result) {
        if (result instanceof SubmitResult.Accepted accepted) {
            return version(accepted.version());
        }
        if (result instanceof SubmitResult.Conflict conflict) {
            ObjectNode body = errorBody(
                    ErrorCode.CONFLICT,
                    "version " + conflict.currentVersion() + " is in force; nothing was changed",
                    List.of());
            body.put("currentVersion", conflict.currentVersion());
            return new AdministrationResponse(ErrorCode.CONFLICT.status(), body.toString());
        }
        if (result instanceof SubmitResult.Rejected rejected) {
            return error(
                    ErrorCode.INVALID,
                    "the changes contradict the configuration; nothing was changed",
                    rejected.findings());
        }
        if (result instanceof SubmitResult.Unavailable unavailable) {
            return error(ErrorCode.UNAVAILABLE, unavailable.reason() + "; nothing was changed", List.of());
        }
        if (result instanceof SubmitResult.RevokedForNow revoked) {
            ObjectNode body = MAPPER.createObjectNode();
            body.put("durable", false)
                    .put("otherEntries", revoked.otherEntries())
                    .put("message", revoked.message());
            return new AdministrationResponse(202, body.toString());
        }
        SubmitResult.Unknown unknown = (SubmitResult.Unknown) result;
        return error(ErrorCode.UNKNOWN, unknown.reason() + "; ask by change id", List.of());
    }

    private AdministrationResponse find(String changeId) {
        if (!Identifiers.isValid(changeId)) {
            return error(ErrorCode.INVALID, "the change id is not a valid identifier", List.of());
        }
        try {
            OptionalLong version = service.find(changeId);
            return version.isPresent()
                    ? version(version.getAsLong())
                    : error(ErrorCode.NOT_FOUND, "change " + changeId + " is not accepted", List.of());
        } catch (ConfigurationUnavailableException exception) {
            return error(ErrorCode.UNAVAILABLE, String.valueOf(exception.getMessage()), List.of());
        }
    }

    private AdministrationResponse status() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("version", service.current().version());
        ArrayNode processes = body.putArray("processes");
        service.status().forEach(process -> processes.add(MAPPER.<ObjectNode>valueToTree(process)));
        return new AdministrationResponse(200, body.toString());
    }

    /** Compares hashes in constant time, so that the time of a refusal says nothing about the credential. */
    private boolean isAuthorized(Optional<String> authorization) {
        if (authorization.isEmpty() || !authorization.get().startsWith(BEARER)) {
            return false;
        }
        KeyHash presented = KeyHash.of(authorization.get().substring(BEARER.length()));
        return MessageDigest.isEqual(bytes(presented), bytes(credentialHash));
    }

    private static byte[] bytes(KeyHash hash) {
        return hash.value().getBytes(StandardCharsets.US_ASCII);
    }

    private static AdministrationResponse version(long version) {
        return new AdministrationResponse(
                200, MAPPER.createObjectNode().put("version", version).toString());
    }

    private static AdministrationResponse wrongMethod(String allowed) {
        return error(ErrorCode.METHOD_NOT_ALLOWED, "the method must be " + allowed, List.of());
    }

    private static AdministrationResponse error(ErrorCode code, String message, List<Finding> findings) {
        return new AdministrationResponse(
                code.status(), errorBody(code, message, findings).toString());
    }

    private static ObjectNode errorBody(ErrorCode code, String message, List<Finding> findings) {
        ObjectNode body = MAPPER.createObjectNode();
        ObjectNode error = body.putObject("error").put("code", code.code()).put("message", message);
        ArrayNode list = error.putArray("findings");
        findings.forEach(finding -> list.add(MAPPER.<ObjectNode>valueToTree(finding)));
        return body;
    }
}
