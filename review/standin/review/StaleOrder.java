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
                    record,
                    deployment.store,
                    "replica-" + index,
                    "llm",
                    3_400,
                    8,
                    8,
                    30,
                    index < 2 ? "m0" : "m2",
                    index < 2 ? "m1" : "m3")));
        }
        deployment.configure(
                3,
                List.of(Deployment.route("r", "/draft/", "streaming", "llm", 12_000, 2)),
                List.of(Deployment.service("llm", Deployment.engine(4, ADAPTERS, 8, 3.4, 90_000))),
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
        AtomicBoolean left = new AtomicBoolean();
        for (int caller = 0; caller < 6; caller++) {
            int number = caller;
            Http.daemon(() -> Drafts.call(deployment, number, List.of("m0", "m1"), ADAPTERS, ended::get));
        }
        // The users of the third replica leave soon after the cut, so that its next holder has no order for it.
        for (int caller = 6; caller < 10; caller++) {
            int number = caller;
            Http.daemon(() -> Drafts.call(deployment, number, List.of("m2", "m3"), ADAPTERS, left::get));
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
        Http.sleep(800);
        left.set(true);
        Http.sleep(CUT_MILLIS - 800);
        links.get(holder).forEach(Link::heal);
        fronts.get(holder).setCut(false);
        long healed = record.millis();
        record.write("the path of %s heals", holder);
        Http.sleep(8_000);
        ended.set(true);
        Http.sleep(500);
        return judge(deployment, engines, holder, healed);
    }

    static List<Engine.Order> orders(List<Engine> engines) {
        List<Engine.Order> all = new ArrayList<>();
        engines.forEach(engine -> all.addAll(engine.orders()));
        all.sort(Comparator.comparingLong(Engine.Order::millis));
        return all;
    }

    private static int judge(Deployment deployment, List<Engine> engines, String cutHolder, long healed) {
        boolean broken = false;
        Map<String, Engine.Order> highest = new HashMap<>();
        long newestToken = 0;
        for (Engine.Order order : orders(engines)) {
            Engine.Order before = highest.get(order.engine());
            newestToken = Math.max(newestToken, order.token());
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
            } else if (order.holder().equals(cutHolder) && order.token() < newestToken) {
                deployment.record.tell(
                        "%s: order of %s (token %d, %s) at %d ms, %d ms after the cut; answered %d",
                        order.engine(), order.holder(), order.token(), order.text(), order.millis(),
                        order.millis() - healed, order.status());
            }
            if (before == null || order.token() > before.token()) {
                highest.put(order.engine(), order);
            }
        }
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }
}
