package io.oleandermoor.gateway.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.state.version.SoftwareVersion;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VersionRegistryTest {

    private static final String OLD = "v1";
    private static final String NEW = "v2";

    private VersionFixture fixture;

    @BeforeEach
    void create() throws Exception {
        fixture = new VersionFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private Optional<SoftwareVersion> findSoleVersion() throws Exception {
        return fixture.onLoop(() -> fixture.registry()
                        .findSoleVersion(VersionFixture.SERVICE)
                        .toFuture())
                .get();
    }

    @Nested
    class TheSoleVersion {

        /** Guards against an answer from before a second version came, which would join two versions. */
        @Test
        void isNotTakenFromAReadBeforeTheCall() throws Exception {
            fixture.recordElsewhere(OLD, "IN_USE");
            assertThat(findSoleVersion()).contains(new SoftwareVersion(OLD));
            fixture.recordElsewhere(NEW, "IN_USE");
            assertThat(findSoleVersion()).isEmpty();
        }

        @Test
        void isUnknownWithoutTheStore() throws Exception {
            fixture.recordElsewhere(OLD, "IN_USE");
            fixture.store().setUnavailable(true);
            assertThat(findSoleVersion()).isEmpty();
        }
    }
}
