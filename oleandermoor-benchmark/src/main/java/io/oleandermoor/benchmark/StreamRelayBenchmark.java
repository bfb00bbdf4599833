package io.oleandermoor.benchmark;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.oleandermoor.protocol.mapping.AttemptMessages;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.state.identity.RequestId;
import io.oleandermoor.state.identity.UpstreamId;
import io.oleandermoor.state.ledger.AttemptDecision;
import io.oleandermoor.state.ledger.AttemptEvent;
import io.oleandermoor.state.ledger.AttemptKey;
import io.oleandermoor.state.ledger.AttemptTracker;
import io.oleandermoor.state.ledger.TextChunk;
import io.oleandermoor.state.ledger.TrackedRequest;
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

/**
 * Measures the way of one streamed token from an agent to an entry: the agent writes a frame, the entry reads it and
 * its tracker decides about it. The sockets and the event for the caller are not included.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class StreamRelayBenchmark {

    private final EmbeddedChannel agent =
            new EmbeddedChannel(new ProtobufVarint32LengthFieldPrepender(), new ProtobufEncoder());
    private final EmbeddedChannel entry =
            new EmbeddedChannel(new ProtobufVarint32FrameDecoder(), new ProtobufDecoder(Envelope.getDefaultInstance()));
    private AttemptTracker tracker = newTracker();
    private AttemptKey key = tracker.begin(new UpstreamId("upstream"), 1, 0);
    private int offset;

    private static AttemptTracker newTracker() {
        return new AttemptTracker(new TrackedRequest(new RequestId(0, 1), true, 3, Long.MAX_VALUE, 60_000), () -> true);
    }

    /**
     * Relays one token.
     *
     * @return the decision of the tracker
     */
    @Benchmark
    public AttemptDecision relayChunk() {
        if (offset == Integer.MAX_VALUE) {
            offset = 0;
            tracker = newTracker();
            key = tracker.begin(new UpstreamId("upstream"), 1, 0);
        }
        agent.writeOutbound(AttemptMessages.chunk(key, new TextChunk(offset++, 1, " token")));
        for (ByteBuf bytes = agent.readOutbound(); bytes != null; bytes = agent.readOutbound()) {
            entry.writeInbound(bytes);
        }
        Envelope envelope = entry.readInbound();
        TextChunk chunk = AttemptMessages.fromMessage(envelope.getChunk());
        AttemptKey attempt = AttemptMessages.fromMessage(envelope.getChunk().getKey());
        return tracker.onEvent(new AttemptEvent.ChunkReceived(attempt, chunk), offset);
    }
}
