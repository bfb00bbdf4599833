package io.oleandermoor.gateway.soak;

import io.oleandermoor.gateway.standin.EntryFixture;
import io.oleandermoor.gateway.standin.InstanceStandIn;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** An instance at a given port that answers as its seed says: once, twice, late, not completely. */
final class StutteringInstance implements AutoCloseable {

    private static final int BACKLOG = 50;
    private static final long BIND_TIMEOUT_NANOS = 5_000_000_000L;
    private static final long BIND_INTERVAL_NANOS = 10_000_000;
    private static final int DECLINED_OF_HUNDRED = 3;

    private final String id;
    private final String service;
    private final long seed;
    private final RunLedger ledger;
    private final AnswerScript.Temper temper;
    private final ServerSocket serverSocket;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger runCount = new AtomicInteger();

    StutteringInstance(String id, String service, int port, long seed, RunLedger ledger) throws IOException {
        this.id = id;
        this.service = service;
        this.seed = seed;
        this.ledger = ledger;
        temper = AnswerScript.Temper.values()[Math.floorMod(id.hashCode(), AnswerScript.Temper.values().length)];
        serverSocket = listen(port);
        startThread("instance-" + id, this::accept);
    }

    /** Tries again for a while: a process that is just being started may still hold the socket of the one before. */
    private static ServerSocket listen(int port) throws IOException {
        long end = System.nanoTime() + BIND_TIMEOUT_NANOS;
        while (true) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
                return socket;
            } catch (BindException exception) {
                socket.close();
                if (System.nanoTime() > end) {
                    throw exception;
                }
                LockSupport.parkNanos(BIND_INTERVAL_NANOS);
            }
        }
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    String id() {
        return id;
    }

    int port() {
        return serverSocket.getLocalPort();
    }

    /** Returns the JSON registration that the instance writes to the store. */
    String registration(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port()
                + "\",\"zone\":\"a\",\"slots\":8,\"state\":\"" + state + "\",\"sequence\":1,\"born\":1,\"models\":"
                + (service.equals("words") ? EntryFixture.MODELS : "[]") + "}";
    }

    private void accept() {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                sockets.add(socket);
                startThread("connection-" + id, () -> serve(socket));
            } catch (IOException exception) {
                // The instance has ended.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String pendingCopy = "";
            boolean open = true;
            boolean kept = false;
            while (open) {
                Map<String, String> request = InstanceStandIn.readRequest(input);
                String target = request.getOrDefault("target-instance", id);
                if (request.get("line").startsWith("GET /api/")) {
                    write(socket, refusal("503 Service Unavailable", ""));
                } else if (!target.equals(id)) {
                    write(socket, refusal("421 Misdirected Request", request.get("request-id")));
                } else {
                    ledger.countPlayed(kept ? "kept" : "new");
                    kept = true;
                    if (!pendingCopy.isEmpty()) {
                        ledger.countPlayed(
                                pendingCopy.matches("(?s).*\r\n\r\n.*") ? "behind_copy" : "behind_part_of_head");
                    }
                    AnswerScript script = execute(request);
                    if (script == null) {
                        write(socket, pendingCopy + refusal("503 Service Unavailable", request.get("request-id")));
                        pendingCopy = "";
                    } else {
                        open = play(script, pendingCopy, socket);
                        pendingCopy = script.copyTime() == AnswerScript.CopyTime.BEFORE_NEXT ? script.copy() : "";
                    }
                }
            }
        } catch (IOException exception) {
            // The entry has closed the connection, or the instance has ended.
            sockets.remove(socket);
        }
    }

    private static String refusal(String status, String requestId) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** Executes a request, or returns null if the instance declines it. */
    private AnswerScript execute(Map<String, String> request) {
        String requestId = request.get("request-id");
        int earlierRuns = ledger.runs(requestId).size();
        UniformRandomProvider random =
                RandomSource.SPLIT_MIX_64.create(seed + requestId.hashCode() * 1_000_003L + earlierRuns);
        if (random.nextInt(100) < DECLINED_OF_HUNDRED) {
            return null;
        }
        AnswerScript.Question question = new AnswerScript.Question(
                requestId,
                service.equals("words"),
                Integer.parseInt(request.getOrDefault("last-event-id", "0")),
                id,
                "s." + id + "." + runCount.incrementAndGet(),
                temper);
        AnswerScript script = AnswerScript.draw(question, random);
        ledger.record(requestId, script.run());
        return script;
    }

    /** Writes what the script says. Returns whether the connection stays open. */
    private static boolean play(AnswerScript script, String pendingCopy, Socket socket) throws IOException {
        AnswerScript.CopyTime copyTime = script.copyTime();
        boolean pauses = script.pauseMillis() % 2 == 0;
        if (pauses && !pendingCopy.isEmpty()) {
            write(socket, pendingCopy);
            pause(script);
        }
        String first = pauses ? "" : pendingCopy;
        String last = copyTime == AnswerScript.CopyTime.ATTACHED ? script.copy() : "";
        if (script.pauseMillis() % 3 == 0 && !script.response().isEmpty()) {
            int middle = script.response().length() / 2;
            write(socket, first + script.response().substring(0, middle));
            pause(script);
            write(socket, script.response().substring(middle) + last);
        } else {
            write(socket, first + script.response() + last);
        }
        if (copyTime == AnswerScript.CopyTime.SHORTLY || copyTime == AnswerScript.CopyTime.IDLE) {
            pause(script);
            write(socket, script.copy());
        }
        if (script.ending() == AnswerScript.Ending.RESET) {
            pause(script);
            socket.setSoLinger(true, 0);
        }
        return script.ending() == AnswerScript.Ending.KEEP;
    }

    private static void pause(AnswerScript script) {
        LockSupport.parkNanos(script.pauseMillis() * 1_000_000L);
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    /** Ends as a process that crashes: nothing that it was writing counts as complete. */
    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : sockets) {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }
}
