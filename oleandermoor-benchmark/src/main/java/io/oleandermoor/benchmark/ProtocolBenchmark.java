package io.oleandermoor.benchmark;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.oleandermoor.protocol.mapping.AttemptMessages;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.HttpCall;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.TextChunk;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the codec of the peer protocol: a message is mapped, encoded, decoded and mapped back. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class ProtocolBenchmark {

    private static final AttemptKey KEY = new AttemptKey(new RequestId(1, 2), 1);
    private static final int BODY_BYTES = 4_096;
    private static final int FINGERPRINT_BYTES = 32;

    private final ByteString body = ByteString.copyFrom(new byte[BODY_BYTES]);
    private final ByteString fingerprint = ByteString.copyFrom(new byte[FINGERPRINT_BYTES]);
    private int offset;

    /**
     * Sends one token through the codec.
     *
     * @return the token
     * @throws InvalidProtocolBufferException if the codec cannot read what it wrote
     */
    @Benchmark
    public TextChunk chunk() throws InvalidProtocolBufferException {
        offset = (offset + 1) & Integer.MAX_VALUE;
        byte[] bytes =
                AttemptMessages.chunk(KEY, new TextChunk(offset, 1, " token")).toByteArray();
        return AttemptMessages.fromMessage(Envelope.parseFrom(bytes).getChunk());
    }

    /**
     * Sends a request with a body of 4 KiB through the codec.
     *
     * @return the message
     * @throws InvalidProtocolBufferException if the codec cannot read what it wrote
     */
    @Benchmark
    public Dispatch dispatch() throws InvalidProtocolBufferException {
        Dispatch dispatch = Dispatch.newBuilder()
                .setKey(AttemptMessages.toMessage(KEY))
                .setTeam("team-1")
                .setModel("model-1")
                .setRepeatable(true)
                .setRemainingMillis(1_400)
                .setCall(HttpCall.newBuilder()
                        .setMethod("POST")
                        .setPath("/v1/chat/completions")
                        .setBody(body))
                .setFingerprint(fingerprint)
                .setMaximumTokens(512)
                .build();
        byte[] bytes = Envelope.newBuilder().setDispatch(dispatch).build().toByteArray();
        return Envelope.parseFrom(bytes).getDispatch();
    }
}
