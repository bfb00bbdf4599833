package io.oleandermoor.daemon.administration;

import java.util.Objects;

/**
 * The configuration in force in one process.
 *
 * @param process the instance of the process
 * @param role the role of the process, such as {@code entry}
 * @param failureDomain the failure domain of the process
 * @param status the status of the process as a member, such as {@code READY}
 * @param version the version in force there, as last reported
 */
public record ProcessStatus(String process, String role, String failureDomain, String status, long version) {

    /** Checks the arguments. */
    public ProcessStatus {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(status, "status");
    }
}
