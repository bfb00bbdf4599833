package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A version of the configuration takes a key away and raises the limit on bodies to 4 GiB. The rule: no request that is
 * sent later than revoke-ms after the acknowledgement of a version that took its key away runs.
 */
public final class RevokedKey {

    private static final long REVOKE_MILLIS = 5_000;
    private static final long OLD_BODY_BYTES = 4_194_304;
    private static final long NEW_BODY_BYTES = 4_294_967_296L;

    /** What a client got. */
    private record Outcome(String id, String key, long sentMillis, int status) {}

    private RevokedKey() {}

    public static void main(String[] arguments) {
        Deployment.main(arguments, RevokedKey::run);
    }

    private static int run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        App app = deployment.addServer(new App(record, deployment.store, "replica-0", "app", 20));
        configure(deployment, 3, List.of("key-1", "key-2"), OLD_BODY_BYTES);
        deployment.addEntry("entry-1");
        deployment.addEntry("entry-2");
        deployment.startEntries();
        AtomicBoolean ended = new AtomicBoolean();
        List<Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
        for (Entry entry : deployment.entries) {
            Http.daemon(() -> call(deployment, entry, "key-1", ended, outcomes));
            Http.daemon(() -> call(deployment, entry, "key-2", ended, outcomes));
        }
        Http.sleep(3_000);
        configure(deployment, 7, List.of("key-2"), deployment.trouble ? NEW_BODY_BYTES : OLD_BODY_BYTES);
        long acknowledged = record.millis();
        Http.sleep(20_000);
        ended.set(true);
        Http.sleep(500);
        Entry restarted = deployment.entries.get(1);
        restarted.terminate();
        restarted.start();
        record.tell("%s is ready within 10 s of a restart: %s", restarted.name(), restarted.awaitReady(10_000));
        int refused = 0;
        int ran = 0;
        long last = 0;
        for (Outcome outcome : new ArrayList<>(outcomes)) {
            if (outcome.key().equals("key-1") && outcome.sentMillis() > acknowledged + REVOKE_MILLIS) {
                if (app.ran().contains(outcome.id())) {
                    ran++;
                    last = outcome.sentMillis() - acknowledged;
                } else {
                    refused++;
                }
            }
        }
        record.tell(
                "requests with the key that was taken away, sent more than %d ms after: %d refused, %d ran, the last one"
                        + " sent %d ms after",
                REVOKE_MILLIS, refused, ran, last);
        return ran > 0 ? Deployment.BROKEN : Deployment.HELD;
    }

    private static void configure(Deployment deployment, long version, List<String> keys, long maximumBodyBytes) {
        deployment.configure(
                version,
                List.of(Deployment.route("look", "/look/", "safe", "app", 4_000, 2)),
                List.of(Deployment.service("app", null)),
                keys,
                maximumBodyBytes);
    }

    private static void call(
            Deployment deployment, Entry entry, String key, AtomicBoolean ended, List<Outcome> outcomes) {
        try (KeptConnection connection = new KeptConnection(entry.callerAddress())) {
            for (int number = 0; !ended.get(); number++) {
                String id = entry.name() + "-" + key + "-" + number;
                long sent = deployment.record.millis();
                int status = connection
                        .send(Caller.head("GET", "/look/x", id, key, 4_000, 0, ""), new byte[0], 4_500)
                        .status();
                outcomes.add(new Outcome(id, key, sent, status));
                deployment.record.write("client id=%s entry=%s key=%s -> %d", id, entry.name(), key, status);
                if (status == 0) {
                    return;
                }
                Http.sleep(200);
            }
        } catch (Exception exception) {
            deployment.record.write("client of %s: %s", entry.name(), exception);
        }
    }
}
