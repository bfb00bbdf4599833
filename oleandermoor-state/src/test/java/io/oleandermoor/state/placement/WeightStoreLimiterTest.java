package io.oleandermoor.state.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.AdapterVersion;
import io.oleandermoor.state.memory.ModelVersion;
import io.oleandermoor.state.placement.LoadPermitDecision.Deferred;
import io.oleandermoor.state.placement.LoadPermitDecision.Granted;
import org.junit.jupiter.api.Test;

class WeightStoreLimiterTest {
    private static final LoadPermitLimits LIMITS = new LoadPermitLimits(10, 2, 3, 1_000, 200);

    private final WeightStoreLimiter limiter = new WeightStoreLimiter(LIMITS, 0);

    /** Guards against a permit that stays in use forever because its holder has failed. */
    @Test
    void permitThatIsNotRenewedIsFreedOnExpiry() {
        assertThat(limiter.request(model(1, 0), 0)).isEqualTo(new Granted(1_000));
        assertThat(limiter.request(model(2, 0), 200)).isInstanceOf(Granted.class);
        assertThat(limiter.request(model(3, 0), 900)).isInstanceOf(Deferred.class);
        assertThat(limiter.request(model(2, 0), 900)).isInstanceOf(Granted.class);
        assertThat(limiter.request(model(3, 0), 999)).isInstanceOf(Deferred.class);
        assertThat(limiter.request(model(3, 0), 1_000)).isInstanceOf(Granted.class);
        assertThat(limiter.inFlight(false, 1_100)).isEqualTo(2);
    }

    /** Guards against a grant before a more urgent pending request, and an abandoned request that blocks others. */
    @Test
    void mostUrgentRequestIsGrantedFirstUntilItExpires() {
        limiter.request(model(1, 0), 0);
        limiter.request(model(2, 0), 200);
        assertThat(limiter.request(model(3, 0), 300)).isInstanceOf(Deferred.class);
        limiter.release(model(1, 0).upstream(), model(1, 0).weights(), 400);
        assertThat(limiter.request(model(4, 1), 400)).isInstanceOf(Deferred.class);
        assertThat(limiter.request(model(4, 1), 501)).isInstanceOf(Granted.class);
    }

    /** Guards against model loads that start faster than the weight store permits. */
    @Test
    void modelLoadStartsStayBelowRateLimit() {
        WeightStoreLimiter slow = new WeightStoreLimiter(new LoadPermitLimits(1.5, 7, 55, 60_000, 5_000), 0);
        int started = 0;
        for (int millis = 0; millis < 10_000; millis += 10) {
            LoadPermitRequest request = model(millis, 0);
            if (slow.request(request, millis) instanceof Granted) {
                started++;
            }
            slow.release(request.upstream(), request.weights(), millis);
        }
        assertThat(started).isBetween(15, 16);
    }

    /** Guards against adapter loads that are blocked by model loads, or the reverse. */
    @Test
    void adapterLoadsHaveSeparateLimit() {
        limiter.request(model(1, 0), 0);
        limiter.request(model(2, 0), 200);
        for (int number = 0; number < 3; number++) {
            assertThat(limiter.request(adapter(number), 200)).isInstanceOf(Granted.class);
        }
        assertThat(limiter.request(adapter(3), 200)).isInstanceOf(Deferred.class);
        assertThat(limiter.availableLoads(200)).isEqualTo(new StepLimits(0, 0));
    }

    /** Guards against a new owner that grants permits while those of the previous owner are still valid. */
    @Test
    void newOwnerGrantsNothingBeforeOldPermitsExpire() {
        WeightStoreLimiter next = new WeightStoreLimiter(LIMITS, 5_000);
        assertThat(next.request(model(1, 0), 4_999)).isInstanceOf(Deferred.class);
        assertThat(next.request(model(1, 0), 5_000)).isInstanceOf(Granted.class);
    }

    private static LoadPermitRequest model(int number, int otherCopies) {
        return new LoadPermitRequest(
                new UpstreamId("u" + number), new ModelVersion(new ModelName("m" + number), "1"), otherCopies, 1);
    }

    private static LoadPermitRequest adapter(int number) {
        return new LoadPermitRequest(
                new UpstreamId("u" + number), new AdapterVersion(new AdapterName("a" + number), "1"), 0, 1);
    }
}
