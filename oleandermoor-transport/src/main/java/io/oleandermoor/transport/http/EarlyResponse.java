package io.oleandermoor.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * A response with which a connection ends although its request has not been read to the end. It is written below the
 * codec, which expects no response before a request is complete.
 *
 * @param status the status code and the reason phrase
 * @param headerLines further header lines, each with its end
 * @param body the body as JSON
 */
record EarlyResponse(String status, String headerLines, String body) {

    /**
     * Writes the response.
     *
     * @param context the context of any handler of the connection
     * @return completes when the response is written
     */
    ChannelFuture write(ChannelHandlerContext context) {
        String text = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close\r\n" + headerLines
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        ByteBuf buffer = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        return context.pipeline().firstContext().writeAndFlush(buffer);
    }

    /**
     * Writes the response and ends the connection towards the caller. The connection stays open in the other direction,
     * because closing a socket with unread bytes would reset the connection and lose the response.
     *
     * @param context the context of any handler of the connection
     */
    void writeAndEndOutput(ChannelHandlerContext context) {
        var unused = write(context).addListener((ChannelFutureListener) written -> {
            if (written.isSuccess() && written.channel() instanceof SocketChannel socket) {
                var unusedResult = socket.shutdownOutput();
            }
        });
    }
}
