package io.oleandermoor.daemon.agent;

import com.google.protobuf.ByteString;
import io.oleandermoor.protocol.message.Chunk;
import io.oleandermoor.protocol.message.Dispatch;
import io.oleandermoor.protocol.message.Envelope;
import io.oleandermoor.protocol.message.FinishReason;
import io.oleandermoor.protocol.message.Finished;
import io.oleandermoor.protocol.message.Header;
import io.oleandermoor.protocol.message.NotRun;
import io.oleandermoor.protocol.message.NotRunReason;
import io.oleandermoor.transport.client.UpstreamFailure;
import io.oleandermoor.transport.client.UpstreamListener;
import io.oleandermoor.transport.peer.PeerConnection;

/** Passes the answer of the upstream on to the entry that sent the request. */
final class RunningRequest implements UpstreamListener {

    private final Dispatch dispatch;

    private final PeerConnection entry;

    private final Runnable onEnd;

    private long sentTokens;

    RunningRequest(Dispatch dispatch, PeerConnection entry, Runnable onEnd) {
        this.dispatch = dispatch;
        this.entry = entry;
        this.onEnd = onEnd;
    }

    @Override
    public void tokens(String text, long generatedTokens) {
        Chunk chunk = Chunk.newBuilder()
                .setKey(dispatch.getKey())
                .setOffset((int) (dispatch.getResumeOffset() + sentTokens))
                .setTokens((int) (generatedTokens - sentTokens))
                .setText(text)
                .build();
        sentTokens = generatedTokens;
        entry.send(Envelope.newBuilder().setChunk(chunk).build());
    }

    @Override
    public void completed(Result result) {
        onEnd.run();
        Finished.Builder finished = Finished.newBuilder()
                .setKey(dispatch.getKey())
                .setReason(result.finishReason().equals("length") ? FinishReason.LENGTH : FinishReason.COMPLETE)
                .setStatus(result.status())
                .setBody(ByteString.copyFrom(result.body()))
                .setPromptTokens((int) result.usage().promptTokens())
                .setGeneratedTokens((int) result.usage().generatedTokens());
        result.headers()
                .forEach((name, value) ->
                        finished.addHeaders(Header.newBuilder().setName(name).setValue(value)));
        entry.send(Envelope.newBuilder().setFinished(finished).build());
    }

    @Override
    public void failed(UpstreamFailure failure) {
        onEnd.run();
        if (failure.isCertainlyNotRun()) {
            entry.send(Envelope.newBuilder()
                    .setNotRun(
                            NotRun.newBuilder().setKey(dispatch.getKey()).setReason(NotRunReason.UPSTREAM_UNREACHABLE))
                    .build());
            return;
        }
        entry.send(Envelope.newBuilder()
                .setFinished(Finished.newBuilder()
                        .setKey(dispatch.getKey())
                        .setReason(
                                failure == UpstreamFailure.CANCELLED
                                        ? FinishReason.CANCELLED
                                        : FinishReason.UPSTREAM_FAILED))
                .build());
    }
}
