package review;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The entry that gives orders is cut off from the store and the replicas for 5.5 s, and another one takes the orders
 * over. The rule: no order with a lower fencing token reaches a replica after one with a higher token, but for the first
 * 300 ms after the cut.
 */
public final class StaleOrder {

    private static final long CUT_MILLIS = 5_500;
    private static final long THAW_SLACK_MILLIS = 300;
    private static final int ADAPTERS = 30;

    private StaleOrder() {}

    public static void main(String[] arguments) {
        Deployment.main(arguments, StaleOrder::run);
    }

    private static int run(Deployment deployment) throws Exception {
        Record record = deployment.record;
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            engines.add(deployment.addServer(new Engine(
                    record, deployment.store, "replica-" + index, "llm", 3_400, 8, 8, 30, "m0", "m1")));
        }
        deployment.configure(
                3,
                List.of(Deployment.route("r", "/draft/", "streaming", "llm", 12_000, 2)),
                List.of(Deployment.service("llm", Deployment.engine(2, ADAPTERS, 8, 3.4))),
                List.of("key-1"));
        Map<String, StoreFront> fronts = new HashMap<>();
        Map<String, List<Link>> links = new HashMap<>();
        for (String name : List.of("entry-1", "entry-2", "entry-3")) {
            StoreFront front = deployment.addServer(new StoreFront(record, deployment.store));
            fronts.put(name, front);
            for (Engine engine : engines) {
                Link link = deployment.addServer(new Link(record, engine.address()));
                front.replaceAddress(engine.address(), link.address());
                links.computeIfAbsent(name, key -> new ArrayList<>()).add(link);
            }
            deployment.addEntry(name, front.address());
        }
        deployment.startEntries();
        AtomicBoolean ended = new AtomicBoolean();
        for (int caller = 0; caller < 9; caller++) {
            int number = caller;
            Http.daemon(() -> Drafts.call(deployment, number, ADAPTERS, ended));
        }
        Http.sleep(8_000);
        List<Engine.Order> before = orders(engines);
        if (before.isEmpty()) {
            throw new Deployment.CannotRun("no order was given");
        }
        String holder = before.get(before.size() - 1).holder();
        record.tell("holder before: %s", holder);
        if (deployment.trouble) {
            record.write("%s is cut off", holder);
            fronts.get(holder).setCut(true);
            links.get(holder).forEach(Link::cut);
        }
        Http.sleep(CUT_MILLIS);
        links.get(holder).forEach(Link::heal);
        fronts.get(holder).setCut(false);
        long healed = record.millis();
        record.write("the path of %s heals", holder);
        Http.sleep(8_000);
        ended.set(true);
        Http.sleep(500);
        return judge(deployment, engines, healed);
    }

    static List<Engine.Order> orders(List<Engine> engines) {
        List<Engine.Order> all = new ArrayList<>();
        engines.forEach(engine -> all.addAll(engine.orders()));
        all.sort(Comparator.comparingLong(Engine.Order::millis));
        return all;
    }

    private static int judge(Deployment deployment, List<Engine> engines, long healed) {
        boolean broken = false;
        Map<String, Engine.Order> highest = new HashMap<>();
        for (Engine.Order order : orders(engines)) {
            Engine.Order before = highest.get(order.engine());
            if (before != null && order.token() < before.token()) {
                long afterHeal = order.millis() - healed;
                boolean counts = afterHeal > THAW_SLACK_MILLIS;
                broken |= counts;
                deployment.record.tell(
                        "%s: order of %s (token %d, %s) at %d ms, %d ms after the cut and %d ms after the first seen"
                                + " token %d of %s; answered %d%s",
                        order.engine(), order.holder(), order.token(), order.text(), order.millis(), afterHeal,
                        order.millis() - before.millis(), before.token(), before.holder(), order.status(),
                        counts ? "" : " (excused)");
            } else if (before == null || order.token() > before.token()) {
                highest.put(order.engine(), order);
            }
        }
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }
}
