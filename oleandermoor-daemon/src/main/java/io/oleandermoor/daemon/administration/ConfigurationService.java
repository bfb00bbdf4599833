package io.oleandermoor.daemon.administration;

import io.oleandermoor.operator.ChangeRequest;
import io.oleandermoor.state.configuration.Configuration;
import java.util.List;
import java.util.OptionalLong;

/** Access to the accepted configuration. Safe for use by several threads. Calls may block on the key-value service. */
public interface ConfigurationService {

    /**
     * Submits changes. Submitting the same change id again returns the version of its first acceptance.
     *
     * @param request the changes and the version that the operator expects
     * @return what became of them
     */
    SubmitResult submit(ChangeRequest request);

    /**
     * Returns the configuration in force in this process.
     *
     * @return the configuration
     */
    Configuration current();

    /**
     * Returns the version at which changes were accepted.
     *
     * @param changeId the identifier of the change set
     * @return the version, or empty if the change set is certainly not accepted at the time of the call
     * @throws ConfigurationUnavailableException if this cannot be determined now
     */
    OptionalLong find(String changeId) throws ConfigurationUnavailableException;

    /**
     * Returns which version is in force in which process.
     *
     * @return the processes that this process knows of
     */
    List<ProcessStatus> status();
}
