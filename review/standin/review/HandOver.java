package review;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The entry that gives orders is stopped for planned work, and the store loses the answer to one write: that by which
 * the next entry takes the orders over. The rule: holders don't take turns at a replica within lease-ms.
 */
public final class HandOver {

    private static final long LEASE_MILLIS = 3_000;
    private static final String HOLDER_KEY = "oleandermoor/orders/holder";
    private static final int ADAPTERS = 30;

    private HandOver() {}

    public static void main(String[] arguments) {
        Deployment.main(arguments, HandOver::run);
    }

    private static int run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        for (int index = 0; index < 2; index++) {
            deployment.addServer(new Engine(record, deployment.store, "replica-" + index, "llm", 3_400, 8, 8, 30, "m0", "m1"));
        }
        deployment.configure(
                3,
                List.of(Deployment.route("r", "/draft/", "streaming", "llm", 12_000, 2)),
                List.of(Deployment.service("llm", Deployment.engine(2, ADAPTERS, 8, 3.4))),
                List.of("key-1"));
        Entry first = deployment.addEntry("entry-1");
        Entry second = deployment.addEntry("entry-2");
        deployment.startEntries();
        AtomicBoolean ended = new AtomicBoolean();
        for (int caller = 0; caller < 6; caller++) {
            int number = caller;
            Http.daemon(() -> Drafts.call(deployment, number, ADAPTERS, ended));
        }
        // Orders flow, because requests ask for more adapters than the replicas have places for.
        Http.sleep(8_000);
        List<Engine.Order> before = orders(deployment);
        if (before.isEmpty()) {
            throw new Deployment.CannotRun("no order was given");
        }
        String holder = before.get(before.size() - 1).holder();
        Entry leaving = first.name().equals(holder) ? first : second;
        AtomicBoolean lost = new AtomicBoolean();
        if (deployment.trouble) {
            deployment.store.setTrouble((request, status) -> request.path().equals("/api/kv-txn")
                    && status == 200
                    && request.text().contains(HOLDER_KEY)
                    && lost.compareAndSet(false, true));
        }
        record.tell("holder before: %s", holder);
        leaving.terminate();
        leaving.start();
        Http.sleep(9_000);
        ended.set(true);
        Http.sleep(500);
        if (deployment.trouble && !lost.get()) {
            throw new Deployment.CannotRun("nobody tried to take the orders over");
        }
        return judge(deployment);
    }

    private static List<Engine.Order> orders(Deployment deployment) {
        List<Engine.Order> all = new ArrayList<>();
        for (Server server : deployment.servers) {
            if (server instanceof Engine engine) {
                all.addAll(engine.orders());
            }
        }
        all.sort(Comparator.comparingLong(Engine.Order::millis));
        return all;
    }

    /** Compares each order to a replica with the one before it there. */
    private static int judge(Deployment deployment) {
        boolean broken = false;
        Map<String, Engine.Order> last = new java.util.HashMap<>();
        for (Engine.Order order : orders(deployment)) {
            Engine.Order previous = last.put(order.engine(), order);
            if (previous != null && !previous.holder().equals(order.holder())) {
                long gap = order.millis() - previous.millis();
                boolean tooSoon = gap < LEASE_MILLIS || order.token() <= previous.token();
                broken |= tooSoon;
                deployment.record.tell(
                        "%s: last order of %s (token %d) at %d ms, first order of %s (token %d) at %d ms: %d ms later%s",
                        order.engine(), previous.holder(), previous.token(), previous.millis(), order.holder(),
                        order.token(), order.millis(), gap, tooSoon ? ", too soon" : "");
            }
        }
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }
}
