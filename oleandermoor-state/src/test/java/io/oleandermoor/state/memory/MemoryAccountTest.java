package io.oleandermoor.state.memory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.oleandermoor.state.identity.AdapterName;
import io.oleandermoor.state.identity.ModelName;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.memory.MemoryDecision.Refuse;
import io.oleandermoor.state.memory.MemoryDecision.RefuseReason;
import io.oleandermoor.state.memory.MemoryDecision.Send;
import io.oleandermoor.state.memory.MemoryDecision.Wait;
import io.oleandermoor.state.memory.MemoryDecision.WaitReason;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

class MemoryAccountTest {
    private static final Weights LARGE = new ModelVersion(new ModelName("large"), "1");
    private static final Weights SMALL = new AdapterVersion(new AdapterName("small"), "1");

    /** Guards against overcommitted memory after lost, late, repeated or reordered orders and after takeovers. */
    @Property(seed = "4711", tries = 3_000, shrinking = ShrinkingMode.OFF)
    void memoryIsNeverOvercommitted(@ForAll long seed, @ForAll Fencing fencing) {
        SimulatedEngine engine = new SimulatedEngine(seed, fencing);
        engine.run(400);
        assertThat(engine.maximumUsedMegabytes).isLessThanOrEqualTo(SimulatedEngine.CAPACITY_MEGABYTES);
    }

    /** Guards against the property above passing only because the simulation executes too few orders. */
    @Property(seed = "4712", tries = 50, shrinking = ShrinkingMode.OFF)
    void simulationExecutesLateOrdersAndNearlyFillsMemory(@ForAll long seed) {
        int executedLoads = 0;
        int lateOrders = 0;
        long maximumUsedMegabytes = 0;
        for (int run = 0; run < 20; run++) {
            SimulatedEngine engine = new SimulatedEngine(seed + run, run % 2 == 0 ? Fencing.HONOURED : Fencing.IGNORED);
            engine.run(400);
            executedLoads += engine.executedLoads;
            lateOrders += engine.executedOldTermOrders;
            maximumUsedMegabytes = Math.max(maximumUsedMegabytes, engine.maximumUsedMegabytes);
        }
        assertThat(executedLoads).isGreaterThan(200);
        assertThat(lateOrders).isPositive();
        assertThat(maximumUsedMegabytes).isGreaterThanOrEqualTo(95);
    }

    /** Guards against counting memory as free while a repeated delivery of the load order may still arrive. */
    @Example
    void unloadFreesMemoryOnlyAfterLoadCanNoLongerArrive() {
        MemoryAccount account = reconciledAccount(Fencing.IGNORED);
        Order load = ((Send) account.load(LARGE, 60, 100)).order();
        account.recordSendEnd(load, 100);
        account.applyResult(load, OrderResult.DONE);
        Order unload = ((Send) account.unload(LARGE, 200)).order();
        assertThat(account.worstCaseMegabytes()).isEqualTo(60);
        account.applyResult(unload, OrderResult.DONE);
        assertThat(account.worstCaseMegabytes()).isEqualTo(60);
        account.applyListing(new EngineListing(List.of()), 1_101);
        assertThat(account.worstCaseMegabytes()).isZero();
        assertThat(account.load(LARGE, 60, 1_150)).isEqualTo(new Wait(WaitReason.UNLOAD_MAY_TAKE_EFFECT));
        assertThat(account.load(LARGE, 60, 1_201)).isInstanceOf(Send.class);
    }

    /**
     * Guards against decisions with a wrong reason: callers decide by the reason whether to wait or to unload first.
     */
    @Example
    void refusedAndDeferredOrdersStateTheirReason() {
        MemoryAccount account = MemoryAccount.takeOver(settings(Fencing.IGNORED), OrderRecord.empty(), 1, 0);
        assertThat(account.load(LARGE, 60, 0)).isEqualTo(new Wait(WaitReason.NOT_RECONCILED));
        assertThat(account.load(LARGE, 101, 0)).isEqualTo(new Refuse(RefuseReason.TOO_LARGE));
        account.applyListing(new EngineListing(List.of()), 0);
        Order load = ((Send) account.load(LARGE, 60, 0)).order();
        assertThat(account.load(SMALL, 50, 0)).isEqualTo(new Wait(WaitReason.MEMORY_UNCERTAIN));
        account.applyResult(load, OrderResult.DONE);
        assertThat(account.load(SMALL, 50, 0)).isEqualTo(new Refuse(RefuseReason.NO_MEMORY));
        assertThat(account.load(LARGE, 60, 0)).isEqualTo(new Refuse(RefuseReason.ALREADY_LOADED));
        assertThat(account.unload(SMALL, 0)).isEqualTo(new Refuse(RefuseReason.NOT_LOADED));
        assertThat(account.isSendAllowed(load, 401)).isFalse();
    }

    /**
     * Guards against a new agent that ignores the recorded orders of its predecessor, or counts their memory as free
     * while they can still take effect.
     */
    @Example
    void nextAgentCountsRecordedOrdersUntilTheyCannotTakeEffect() throws Exception {
        MemoryAccount first = reconciledAccount(Fencing.IGNORED);
        OrderRecord written = ((Send) first.load(LARGE, 60, 0)).record();
        ObjectMapper mapper = new ObjectMapper();
        OrderRecord read = mapper.readValue(mapper.writeValueAsString(written), OrderRecord.class);
        assertThat(read).isEqualTo(written);
        assertThatThrownBy(() -> MemoryAccount.takeOver(settings(Fencing.IGNORED), read, 1, 0))
                .isInstanceOf(IllegalArgumentException.class);
        for (Fencing fencing : Fencing.values()) {
            MemoryAccount next = MemoryAccount.takeOver(settings(fencing), read, 2, 5_000);
            assertThat(next.worstCaseMegabytes()).isEqualTo(60);
            next.applyListing(new EngineListing(List.of()), 5_500);
            assertThat(next.worstCaseMegabytes()).isEqualTo(fencing == Fencing.HONOURED ? 0 : 60);
            next.applyListing(new EngineListing(List.of()), 6_001);
            assertThat(next.worstCaseMegabytes()).isZero();
        }
    }

    private static MemoryAccount reconciledAccount(Fencing fencing) {
        MemoryAccount account = MemoryAccount.takeOver(settings(fencing), OrderRecord.empty(), 1, 0);
        account.applyListing(new EngineListing(List.of()), 0);
        return account;
    }

    private static MemorySettings settings(Fencing fencing) {
        return new MemorySettings(new UpstreamId("u"), 100, fencing, 1_000, 400);
    }
}
