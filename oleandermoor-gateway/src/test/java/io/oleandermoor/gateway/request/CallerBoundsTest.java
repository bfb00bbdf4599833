package io.oleandermoor.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.oleandermoor.gateway.settings.GatewaySettings;
import io.oleandermoor.transport.settings.SettingsReader;
import java.util.List;
import org.junit.jupiter.api.Test;

class CallerBoundsTest {

    private static final String SETTINGS = "[process]\nname = entry-1\nfailure-domain = a\n[listen]\n"
            + "caller = 127.0.0.1:1001\nready = 127.0.0.1:1002\npeer = 127.0.0.1:1003\n[store]\naddress = 127.0.0.1:1004\n"
            + "[retries]\nwindow = 10s\nratio = 0.25\nfixed = 4\n[orders]\nholder-gap = 3s\n"
            + "[limits]\nrevocation = 5s\ngrace = 8s\n";

    /**
     * Guards against callers that are refused because the operating system states fewer descriptors than the platform
     * grants: a play with a limit of 200 refused all but 50 connections.
     */
    @Test
    void statedDescriptorsPrevailOverTheLimitOfTheOperatingSystem() throws Exception {
        assertThat(CallerBounds.of(new SettingsReader(GatewaySettings.SCHEMA)
                                .read("test", SETTINGS + "descriptors = 2000000000\n", List.of()))
                        .connections())
                .isEqualTo(2_000_000_000 - 700);
    }
}
