package io.oleandermoor.daemon.entry;

import io.oleandermoor.coordination.configuration.ChangeAnswer;
import io.oleandermoor.coordination.configuration.ConfigurationHolder;
import io.oleandermoor.coordination.configuration.ConfigurationLog;
import io.oleandermoor.coordination.configuration.Revocation;
import io.oleandermoor.daemon.administration.ConfigurationService;
import io.oleandermoor.daemon.administration.ConfigurationUnavailableException;
import io.oleandermoor.daemon.administration.ProcessStatus;
import io.oleandermoor.daemon.administration.SubmitResult;
import io.oleandermoor.operator.ChangeRequest;
import io.oleandermoor.state.configuration.Configuration;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Accepts changes through the configuration log. */
final class StoreConfigurationService implements ConfigurationService {

    /** A key must end within seconds, so a revocation waits no longer for the key-value service. */
    private static final long REVOCATION_WAIT_MILLIS = 2_000;

    private final ConfigurationLog log;

    private final ConfigurationHolder holder;

    private final Supplier<List<ProcessStatus>> status;

    private final KeyRevocations revocations;

    StoreConfigurationService(
            ConfigurationLog log,
            ConfigurationHolder holder,
            Supplier<List<ProcessStatus>> status,
            KeyRevocations revocations) {
        this.revocations = revocations;
        this.log = log;
        this.holder = holder;
        this.status = status;
    }

    @Override
    public SubmitResult submit(ChangeRequest request) {
        try {
            Single<Long> expected = request.expectedVersion().isPresent()
                    ? Single.just(request.expectedVersion().getAsLong())
                    : log.readAfter(holder.configuration().version())
                            .map(update -> update.configuration().version());
            Single<ChangeAnswer> answers = expected.flatMap(version -> log.accept(request.changeSet(), version));
            boolean revokes =
                    Revocation.of(request.changeSet(), holder.configuration()).isPresent();
            ChangeAnswer answer = revokes
                    ? answers.timeout(REVOCATION_WAIT_MILLIS, TimeUnit.MILLISECONDS)
                            .blockingGet()
                    : answers.blockingGet();
            if (answer instanceof ChangeAnswer.Accepted accepted) {
                return new SubmitResult.Accepted(accepted.version());
            }
            if (answer instanceof ChangeAnswer.Conflict conflict) {
                return new SubmitResult.Conflict(conflict.currentVersion());
            }
            return new SubmitResult.Rejected(((ChangeAnswer.Invalid) answer).findings());
        } catch (RuntimeException exception) {
            OptionalInt told = revocations.revoke(request.changeSet());
            return told.isPresent()
                    ? new SubmitResult.RevokedForNow(told.getAsInt())
                    : new SubmitResult.Unknown("the key-value service did not answer");
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
