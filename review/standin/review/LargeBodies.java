package review;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * More users than usual send bodies of the size that the operator allows. The rule: of the requests that are unanswered at
 * their route's timeout-ms, no more than half have no answer half a second later.
 */
public final class LargeBodies {

    /** The configuration's max-body-bytes. */
    private static final int BODY_BYTES = 4_194_304;
    /** Each user sends its body at an even pace, so that all of them together use half of a link of 1,000 Mbit/s. */
    private static final long UPLOAD_MILLIS = 2_500;

    private static final int PIECES = 50;
    private static final int USERS = 14;
    /** With these, 2.9 times the usual of this kind of request, for 3 s. */
    private static final int MORE_USERS = 26;

    private static final long BURST_MILLIS = 3_000;

    private static final int BOOKERS = 12;
    private static final int TIMEOUT_MILLIS = 4_000;

    /** A booking: when it was sent, and when and how it was answered. */
    private record Booking(String id, long sentMillis, long waitedMillis, int status) {}

    private LargeBodies() {}

    public static void main(String[] arguments) {
        Deployment.main(arguments, LargeBodies::run);
    }

    private static int run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        List<App> apps = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            apps.add(deployment.addServer(new App(record, deployment.store, "replica-" + index, "app", 60)));
        }
        deployment.configure(
                3,
                List.of(
                        Deployment.route("book", "/book/", "unsafe", "app", TIMEOUT_MILLIS, 1),
                        Deployment.route("look", "/look/", "safe", "app", TIMEOUT_MILLIS, 2)),
                List.of(Deployment.service("app", null)),
                List.of("key-1"));
        Entry entry = deployment.addEntry("entry-1");
        deployment.startEntries();
        AtomicBoolean ended = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        for (int user = 0; user < USERS; user++) {
            int number = user;
            Http.daemon(() -> {
                for (int call = 0; !ended.get(); call++) {
                    upload(deployment, entry, "u" + number + "-" + call, served, failed);
                }
            });
            Http.sleep(UPLOAD_MILLIS / USERS);
        }
        List<Booking> bookings = Collections.synchronizedList(new ArrayList<>());
        for (int booker = 0; booker < BOOKERS; booker++) {
            int number = booker;
            Http.daemon(() -> book(deployment, entry, number, ended, bookings));
        }
        Http.sleep(6_000);
        if (deployment.trouble) {
            record.tell("%d more users come at once", MORE_USERS);
            long burstEnd = record.millis() + BURST_MILLIS;
            for (int user = 0; user < MORE_USERS; user++) {
                int number = user;
                Http.daemon(() -> {
                    for (int call = 0; record.millis() < burstEnd; call++) {
                        upload(deployment, entry, "more" + number + "-" + call, served, failed);
                    }
                });
            }
        }
        Http.sleep(14_000);
        ended.set(true);
        Http.sleep(5_500);
        record.tell("uploads: %d served, %d failed", served.get(), failed.get());
        record.tell("the entry runs: %s, says that it is ready: %s", entry.isAlive(), entry.isReady());
        return judge(deployment, apps, bookings);
    }

    /** Sends one large body at an even pace and reads the answer. */
    private static void upload(
            Deployment deployment, Entry entry, String id, AtomicInteger served, AtomicInteger failed) {
        long start = deployment.record.millis();
        int status = 0;
        try (Socket socket = Entry.connect(entry.callerAddress(), 2_500)) {
            OutputStream output = socket.getOutputStream();
            output.write(Caller.head("POST", "/look/x", id, "key-1", TIMEOUT_MILLIS, BODY_BYTES, "")
                    .getBytes(StandardCharsets.UTF_8));
            byte[] piece = new byte[BODY_BYTES / PIECES];
            int sent = 0;
            for (int index = 0; index < PIECES; index++) {
                output.write(piece);
                sent += piece.length;
                Http.sleep(start + (index + 1) * UPLOAD_MILLIS / PIECES - deployment.record.millis());
            }
            output.write(new byte[BODY_BYTES - sent]);
            status = Caller.read(socket.getInputStream()).status();
        } catch (Exception exception) {
            Http.sleep(500);
        }
        (status == 200 ? served : failed).incrementAndGet();
        deployment.record.write(
                "client id=%s, %d bytes -> %d after %d ms", id, BODY_BYTES, status, deployment.record.millis() - start);
    }

    /** Books again and again on a kept connection, until a booking gets no answer. */
    private static void book(
            Deployment deployment, Entry entry, int booker, AtomicBoolean ended, List<Booking> bookings) {
        try (KeptConnection connection = new KeptConnection(entry.callerAddress())) {
            for (int number = 0; !ended.get(); number++) {
                String id = "b" + booker + "-" + number;
                long sent = deployment.record.millis();
                Caller.Answer answer = connection.send(
                        Caller.head("POST", "/book/x", id, "key-1", TIMEOUT_MILLIS, 600, ""),
                        new byte[600],
                        TIMEOUT_MILLIS + 500);
                long waited = deployment.record.millis() - sent;
                bookings.add(new Booking(id, sent, waited, answer.status()));
                deployment.record.write("client id=%s, 600 bytes -> %d after %d ms", id, answer.status(), waited);
                if (answer.status() == 0) {
                    return;
                }
                Http.sleep(300);
            }
        } catch (Exception exception) {
            deployment.record.write("client b%d: %s", booker, exception);
        }
    }

    private static int judge(Deployment deployment, List<App> apps, List<Booking> bookings) {
        int late = 0;
        int unanswered = 0;
        int ran = 0;
        for (Booking booking : new ArrayList<>(bookings)) {
            if (booking.waitedMillis() > TIMEOUT_MILLIS) {
                late++;
                if (booking.status() == 0) {
                    unanswered++;
                    ran += apps.stream().anyMatch(app -> app.ran().contains(booking.id())) ? 1 : 0;
                }
            }
        }
        deployment.record.tell(
                "%d bookings; %d of them unanswered at %d ms, %d of these also half a second later; %d of these ran",
                bookings.size(), late, TIMEOUT_MILLIS, unanswered, ran);
        return unanswered >= 8 && unanswered * 2 > late ? Deployment.BROKEN : Deployment.HELD;
    }
}
