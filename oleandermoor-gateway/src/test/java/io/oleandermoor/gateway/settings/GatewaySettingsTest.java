package io.oleandermoor.gateway.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.oleandermoor.state.dispatch.DispatchMechanism;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.transport.settings.Settings;
import io.oleandermoor.transport.settings.SettingsReader;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GatewaySettingsTest {

    private static Settings read(String limits) throws InvalidInputException {
        String text = "[process]\nname = e\nfailure-domain = a\n[listen]\ncaller = 127.0.0.1:1\nready = 127.0.0.1:2\n"
                + "peer = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\n" + limits;
        return new SettingsReader(GatewaySettings.SCHEMA).read("gateway.ini", text, List.of());
    }

    @Nested
    class NumericSettings {

        /** Guards against an entry that does not start because the platform configures a limit as a fraction. */
        @Test
        void acceptFractions() throws InvalidInputException {
            Settings settings = read("[limits]\nrevocation = 4999.75ms\ngrace = 8.5s\n[retries]\nwindow = 9.5s\n"
                    + "ratio = 0.25\nfixed = 44.16666666666667\n[orders]\nholder-gap = 2999.5ms\n");
            assertThat(settings.get(GatewaySettings.REVOCATION)).isEqualTo(Duration.ofMillis(4_999));
            assertThat(settings.get(GatewaySettings.GRACE)).isEqualTo(Duration.ofMillis(8_500));
            assertThat(settings.get(GatewaySettings.RETRY_WINDOW)).isEqualTo(Duration.ofMillis(9_500));
            assertThat(settings.get(GatewaySettings.RETRY_RATIO)).isEqualTo(0.25);
            assertThat(settings.get(GatewaySettings.RETRY_FIXED)).isEqualTo(44.16666666666667);
            assertThat(settings.get(GatewaySettings.HOLDER_GAP)).isEqualTo(Duration.ofMillis(2_999));
        }

        /** Guards against accepting a limit that is negative or not a plain decimal number. */
        @Test
        void rejectNegativeAndMalformedNumbers() {
            for (String invalid : List.of("-1", "NaN", "1e3", "1.", ".5", "Infinity", "")) {
                assertThatThrownBy(() -> read("[limits]\nrevocation = 5s\ngrace = 8s\n[retries]\nwindow = 10s\n"
                                + "ratio = 0.25\nfixed = " + invalid + "\n[orders]\nholder-gap = 3s\n"))
                        .as(invalid)
                        .isInstanceOf(InvalidInputException.class);
            }
        }
    }

    @Nested
    class Regions {

        /** Guards against an entry that does not start where the platform has no regions. */
        @Test
        void areAnOptionalTable() throws InvalidInputException {
            assertThat(read(DisabledMechanisms.LIMITS).get(GatewaySettings.REGIONS))
                    .isEmpty();
            String table = DisabledMechanisms.LIMITS + "[process]\nregions = ";
            assertThat(read(table + "[]").get(GatewaySettings.REGIONS)).isEmpty();
            assertThat(read(table + "[a:x, b:y]").get(GatewaySettings.REGIONS)).isEqualTo(Map.of("a", "x", "b", "y"));
            for (String invalid : List.of("a:x", "[a]", "[a:]", "[a:x,]", "[a:x, a:y]")) {
                assertThatThrownBy(() -> read(table + invalid)).isInstanceOf(InvalidInputException.class);
            }
        }
    }

    @Nested
    class BoundsOfColdInstances {

        private static final String LIMITS = "[limits]\nrevocation = 5s\ngrace = 8s\n[retries]\nwindow = 10s\n"
                + "ratio = 0.25\nfixed = 4\n[orders]\nholder-gap = 3s\n";

        /** Guards against an entry that does not start because the platform does not give these bounds. */
        @Test
        void mayBeMissing() throws InvalidInputException {
            Settings settings = read(LIMITS + "[cold]\n\n\n");
            assertThat(settings.get(GatewaySettings.COLD_OVERRUN)).isEqualTo(1.5);
            assertThat(settings.get(GatewaySettings.COLD_SLACK)).isEqualTo(5);
        }

        @Test
        void areRead() throws InvalidInputException {
            Settings settings = read(LIMITS + "[cold]\noverrun = 2.5\nslack = 7\n");
            assertThat(settings.get(GatewaySettings.COLD_OVERRUN)).isEqualTo(2.5);
            assertThat(settings.get(GatewaySettings.COLD_SLACK)).isEqualTo(7);
        }
    }

    @Nested
    class DisabledMechanisms {

        private static final String LIMITS = "[limits]\nrevocation = 5s\ngrace = 8s\n[retries]\nwindow = 10s\n"
                + "ratio = 0.25\nfixed = 4\n[orders]\nholder-gap = 3s\n";

        @Test
        void areNoneByDefault() throws InvalidInputException {
            assertThat(read(LIMITS).get(GatewaySettings.DISABLED_DISPATCH)).isEmpty();
            assertThat(read(LIMITS).get(GatewaySettings.DISABLED_PLACEMENT)).isEmpty();
        }

        @Test
        void areListedByName() throws InvalidInputException {
            Settings settings = read(LIMITS + "[dispatch]\ndisabled = SLOWNESS_PENALTY, SPACED_RETURNS\n");
            assertThat(settings.get(GatewaySettings.DISABLED_DISPATCH))
                    .containsExactlyInAnyOrder(DispatchMechanism.SLOWNESS_PENALTY, DispatchMechanism.SPACED_RETURNS);
        }

        /** Guards against a misspelt name that silently leaves the mechanism on. */
        @Test
        void rejectUnknownNames() {
            assertThatThrownBy(() -> read(LIMITS + "[dispatch]\ndisabled = SLOWNES_PENALTY\n"))
                    .isInstanceOf(InvalidInputException.class);
        }
    }
}
