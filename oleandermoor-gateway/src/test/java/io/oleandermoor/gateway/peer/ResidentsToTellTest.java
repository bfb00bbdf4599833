package io.oleandermoor.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.protocol.message.EngineResidents;
import io.oleandermoor.protocol.message.ResidentModel;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ResidentsToTellTest {

    private static final int ENGINES = 600;
    private static final int PART_BYTES = 1_000;

    private final ResidentsToTell residents = new ResidentsToTell(PART_BYTES);

    @BeforeEach
    void fill() {
        for (int engine = 0; engine < ENGINES; engine++) {
            residents.changed(EngineResidents.newBuilder()
                    .setInstance("engine-" + engine)
                    .addModels(ResidentModel.newBuilder().setModel("model").addAdapters("a1"))
                    .build());
        }
    }

    private static int bytes(List<EngineResidents> part) {
        return part.stream().mapToInt(EngineResidents::getSerializedSize).sum();
    }

    /** Guards against a datagram that grows with the fleet until no link carries it. */
    @Test
    void tellsEveryChangeOnceInPartsOfABoundedSize() {
        Set<String> told = new HashSet<>();
        while (residents.hasChanges()) {
            List<EngineResidents> part = residents.nextChanges();
            assertThat(bytes(part)).isBetween(1, PART_BYTES);
            part.forEach(engine -> assertThat(told.add(engine.getInstance())).isTrue());
        }
        assertThat(told).hasSize(ENGINES);
    }

    /** Guards against an engine that is never told again, so that a lost datagram is not made good. */
    @Test
    void tellsEveryEngineAgainInTurn() {
        Set<String> told = new HashSet<>();
        int parts = 0;
        while (told.size() < ENGINES) {
            List<EngineResidents> part = residents.nextInTurn();
            assertThat(bytes(part)).isBetween(1, PART_BYTES);
            part.forEach(engine -> told.add(engine.getInstance()));
            parts++;
        }
        assertThat(parts).isLessThanOrEqualTo(ENGINES / 10);
    }

    /** Guards against a change that only those entries hear whose turn it was. */
    @Test
    void aChangeStaysUntoldWhileEnginesAreToldAgainInTurn() {
        residents.nextInTurn();
        assertThat(residents.nextChanges().get(0).getInstance()).isEqualTo("engine-0");
    }

    @Test
    void anEngineThatIsLargerThanAPartIsToldAlone() {
        EngineResidents.Builder large = EngineResidents.newBuilder().setInstance("large");
        for (int model = 0; model < PART_BYTES; model++) {
            large.addModels(ResidentModel.newBuilder().setModel("model-" + model));
        }
        residents.clear();
        residents.changed(large.build());
        assertThat(residents.nextChanges()).hasSize(1);
    }

    @Test
    void forgetsEnginesThatAreGone() {
        residents.retain("engine-7"::equals);
        assertThat(residents.nextChanges()).hasSize(1);
        assertThat(residents.hasChanges()).isFalse();
    }
}
