package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An entry stands still for four seconds while the operator changes a configuration of many routes several times. The
 * rule: a machine in touch handles what is sent later than config-apply-ms after a version as that version says.
 */
public final class StaleConfiguration {

    private static final long FREEZE_MILLIS = 4_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long APPLY_MILLIS = 3_000;
    private static final int BASE_ROUTES = 13;
    private static final int MORE_ROUTES = 1_400;
    private static final int CHANGES = 10;

    /** What a client got. */
    private record Outcome(long sentMillis, String entry, String path, int status) {}

    private StaleConfiguration() {}

    public static void main(String[] arguments) {
        Deployment.main(arguments, StaleConfiguration::run);
    }

    private static int run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        deployment.addServer(new App(record, deployment.store, "replica-0", "app", 20));
        configure(deployment, 10, 0);
        deployment.addEntry("entry-1");
        deployment.addEntry("entry-2");
        deployment.startEntries();
        long started = record.millis();
        AtomicBoolean ended = new AtomicBoolean();
        List<Outcome> outcomes = java.util.Collections.synchronizedList(new ArrayList<>());
        for (Entry entry : deployment.entries) {
            Http.daemon(() -> call(deployment, entry, "/look/x", ended, outcomes));
            Http.daemon(() -> call(deployment, entry, "/added-" + CHANGES + "/x", ended, outcomes));
        }
        // The entries read everything anew each 15 s; this is shortly after the first time.
        Http.sleep(started + 17_000 - record.millis());
        Entry frozen = deployment.entries.get(0);
        if (deployment.trouble) {
            frozen.signal("STOP");
        }
        long begin = record.millis();
        for (int change = 1; change <= CHANGES; change++) {
            configure(deployment, 10 + 3 * change, change);
            Http.sleep(begin + change * FREEZE_MILLIS / (CHANGES + 1) - record.millis());
        }
        long acknowledged = record.millis();
        Http.sleep(begin + FREEZE_MILLIS - record.millis());
        if (deployment.trouble) {
            frozen.signal("CONT");
        }
        long thawed = record.millis();
        Http.sleep(20_000);
        ended.set(true);
        Http.sleep(500);
        return judge(deployment, outcomes, Math.max(thawed + CONTACT_MILLIS, acknowledged + APPLY_MILLIS));
    }

    private static void configure(Deployment deployment, long version, int added) {
        List<Object> routes = new ArrayList<>();
        routes.add(Deployment.route("look", "/look/", "safe", "app", 6_000, 2));
        for (int index = 1; index < BASE_ROUTES + MORE_ROUTES; index++) {
            routes.add(Deployment.route("r-" + index, "/more-" + index + "/", "safe", "app", 6_000, 2));
        }
        for (int index = 1; index <= added; index++) {
            routes.add(Deployment.route("a-" + index, "/added-" + index + "/", "safe", "app", 6_000, 2));
        }
        Map<String, Object> app = new LinkedHashMap<>(Deployment.service("app", null));
        deployment.configure(version, routes, List.of(app), List.of("key-1"));
    }

    /** Sends requests on a kept connection, which stays with its entry whether that says that it is ready or not. */
    private static void call(
            Deployment deployment, Entry entry, String path, AtomicBoolean ended, List<Outcome> outcomes) {
        try (KeptConnection connection = new KeptConnection(entry.callerAddress())) {
            for (int number = 0; !ended.get(); number++) {
                String id = entry.name() + path.replace('/', '-') + number;
                long sent = deployment.record.millis();
                int status = connection
                        .send(Caller.head("GET", path, id, "key-1", 6_000, 0, ""), new byte[0], 7_000)
                        .status();
                outcomes.add(new Outcome(sent, entry.name(), path, status));
                deployment.record.write("client id=%s entry=%s %s -> %d", id, entry.name(), path, status);
                if (status == 0) {
                    return;
                }
                Http.sleep(100);
            }
        } catch (Exception exception) {
            deployment.record.write("client of %s: %s", entry.name(), exception);
        }
    }

    private static int judge(Deployment deployment, List<Outcome> outcomes, long from) {
        int stale = 0;
        for (Entry entry : deployment.entries) {
            int served = 0;
            int notFound = 0;
            int unavailable = 0;
            long last = 0;
            for (Outcome outcome : new ArrayList<>(outcomes)) {
                if (!outcome.entry().equals(entry.name()) || outcome.sentMillis() < from) {
                    continue;
                }
                if (outcome.status() == 404) {
                    notFound++;
                    last = outcome.sentMillis();
                } else if (outcome.status() == 503) {
                    unavailable++;
                    last = outcome.sentMillis();
                } else if (outcome.status() == 200) {
                    served++;
                }
            }
            stale += notFound;
            deployment.record.tell(
                    "%s, from %d ms on: %d served, %d answered 404 though the route is there, %d answered 503; the last"
                            + " of these at %d ms",
                    entry.name(), from, served, notFound, unavailable, last);
        }
        return stale > 0 ? Deployment.BROKEN : Deployment.HELD;
    }
}
