package io.oleandermoor.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.protocol.message.EngineResidents;
import io.oleandermoor.protocol.message.ResidentModel;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ResidentReportQueueTest {

    private static final int ENGINE_COUNT = 600;
    private static final int MAXIMUM_PART_BYTES = 1_000;

    private final ResidentReportQueue queue = new ResidentReportQueue(MAXIMUM_PART_BYTES);

    @BeforeEach
    void fill() {
        for (int engine = 0; engine < ENGINE_COUNT; engine++) {
            queue.update(EngineResidents.newBuilder()
                    .setInstance("engine-" + engine)
                    .addModels(ResidentModel.newBuilder().setModel("model").addAdapters("a1"))
                    .build());
        }
    }

    private static int bytes(List<EngineResidents> part) {
        return part.stream().mapToInt(EngineResidents::getSerializedSize).sum();
    }

    /** Guards against a datagram that grows with the fleet beyond what the network can carry. */
    @Test
    void reportsEachChangeOnceInPartsOfBoundedSize() {
        Set<String> reported = new HashSet<>();
        while (queue.hasChanges()) {
            List<EngineResidents> part = queue.pollChanges();
            assertThat(bytes(part)).isBetween(1, MAXIMUM_PART_BYTES);
            part.forEach(
                    engine -> assertThat(reported.add(engine.getInstance())).isTrue());
        }
        assertThat(reported).hasSize(ENGINE_COUNT);
    }

    /** Guards against an engine that is not reported again after its datagram was lost. */
    @Test
    void roundRobinCoversEveryEngine() {
        Set<String> reported = new HashSet<>();
        int parts = 0;
        while (reported.size() < ENGINE_COUNT) {
            List<EngineResidents> part = queue.nextRoundRobin();
            assertThat(bytes(part)).isBetween(1, MAXIMUM_PART_BYTES);
            part.forEach(engine -> reported.add(engine.getInstance()));
            parts++;
        }
        assertThat(parts).isLessThanOrEqualTo(ENGINE_COUNT / 10);
    }

    /** Guards against a change that reaches only the entries that got the round-robin report. */
    @Test
    void roundRobinKeepsChangesPending() {
        queue.nextRoundRobin();
        assertThat(queue.pollChanges().get(0).getInstance()).isEqualTo("engine-0");
    }

    @Test
    void engineLargerThanPartIsReportedAlone() {
        EngineResidents.Builder large = EngineResidents.newBuilder().setInstance("large");
        for (int model = 0; model < MAXIMUM_PART_BYTES; model++) {
            large.addModels(ResidentModel.newBuilder().setModel("model-" + model));
        }
        queue.clear();
        queue.update(large.build());
        assertThat(queue.pollChanges()).hasSize(1);
    }

    @Test
    void retainRemovesOtherEngines() {
        queue.retain("engine-7"::equals);
        assertThat(queue.pollChanges()).hasSize(1);
        assertThat(queue.hasChanges()).isFalse();
    }
}
