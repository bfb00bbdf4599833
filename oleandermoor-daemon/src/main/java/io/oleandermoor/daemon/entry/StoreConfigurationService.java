package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.configuration.ChangeAnswer;
import io.oleandermoor.coordination.configuration.ConfigurationHolder;
import io.oleandermoor.coordination.configuration.ConfigurationLog;
import io.oleandermoor.daemon.administration.ConfigurationService;
import io.oleandermoor.daemon.administration.ConfigurationUnavailableException;
import io.oleandermoor.daemon.administration.ProcessStatus;
import io.oleandermoor.daemon.administration.SubmitResult;
import io.oleandermoor.operator.ChangeRequest;
import io.oleandermoor.state.configuration.Configuration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Supplier;

/** Accepts changes through the configuration log. */
final class StoreConfigurationService implements ConfigurationService {

    private final ConfigurationLog log;

    private final ConfigurationHolder holder;

    private final Supplier<List<ProcessStatus>> status;

    StoreConfigurationService(ConfigurationLog log, ConfigurationHolder holder, Supplier<List<ProcessStatus>> status) {
        this.log = log;
        this.holder = holder;
        this.status = status;
    }

    @Override
    public SubmitResult submit(ChangeRequest request) {
        try {
            long expected = request.expectedVersion().isPresent()
                    ? request.expectedVersion().getAsLong()
                    : log.readAfter(holder.configuration().version())
                            .blockingGet()
                            .configuration()
                            .version();
            ChangeAnswer answer = log.accept(request.changeSet(), expected).blockingGet();
            if (answer instanceof ChangeAnswer.Accepted accepted) {
                return new SubmitResult.Accepted(accepted.version());
            }
            if (answer instanceof ChangeAnswer.Conflict conflict) {
                return new SubmitResult.Conflict(conflict.currentVersion());
            }
            return new SubmitResult.Rejected(((ChangeAnswer.Invalid) answer).findings());
        } catch (RuntimeException exception) {
            return new SubmitResult.Unknown("the key-value service did not answer");
        }
    }

    @Override
    public Configuration current() {
        return holder.configuration();
    }

    @Override
    public OptionalLong find(String changeId) throws ConfigurationUnavailableException {
        try {
            return log.find(changeId).blockingGet();
        } catch (RuntimeException exception) {
            throw new ConfigurationUnavailableException("the key-value service did not answer");
        }
    }

    @Override
    public List<ProcessStatus> status() {
        return status.get();
    }
}
