package io.oleandermoor.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.RepeatedTest;

class DryRunTest {

    /** Guards against a build that fails because the system assigns the same free port twice. */
    @RepeatedTest(20)
    void freePortsDiffer() throws IOException {
        assertThat(DryRun.freePorts(100)).doesNotHaveDuplicates();
    }
}
