package io.oleandermoor.daemon.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.HttpCall;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineBodyTest {

    /** Guards against numbers that reach the engine rounded, because the agent adds fields to the body. */
    @ParameterizedTest
    @ValueSource(strings = {"9007199254740993", "9007199254740993.0", "18446744073709551617", "0.70", "1E+400"})
    void keepsTheNumbersOfTheCaller(String number) throws Exception {
        Dispatch dispatch = Dispatch.newBuilder()
                .setCall(HttpCall.newBuilder().setBody(ByteString.copyFromUtf8("{\"seed\":" + number + "}")))
                .build();
        assertThat(new String(EngineBody.of(dispatch), StandardCharsets.UTF_8)).startsWith("{\"seed\":" + number + ",");
    }
}
