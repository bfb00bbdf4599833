package review;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

/** A client that asks for drafts by any adapter of some models, one after the other. */
final class Drafts {

    private Drafts() {}

    static void call(
            Deployment deployment, int caller, List<String> models, int adapters, BooleanSupplier ended) {
        for (int number = 0; !ended.getAsBoolean(); number++) {
            Entry entry = deployment.entries.get(ThreadLocalRandom.current().nextInt(deployment.entries.size()));
            String id = String.format("c%02d-%05d", caller, number);
            String model = models.get(number % models.size()) + "/a" + (1 + ThreadLocalRandom.current().nextInt(adapters));
            String more = "Model: " + model + "\r\nToken-Count: 100,48\r\nPrompt-Prefix: "
                    + Integer.toHexString(id.hashCode()) + ":100\r\n";
            try {
                Caller.Answer answer = Caller.send(
                        entry.callerAddress(),
                        Caller.head("POST", "/draft/x", id, "key-1", 6_000, 2, more),
                        "{}".getBytes(),
                        7_000);
                deployment.record.write("client id=%s entry=%s %s -> %d", id, entry.name(), model, answer.status());
                Http.sleep(answer.status() == 200 ? 50 : 200);
            } catch (Exception exception) {
                Http.sleep(100);
            }
        }
    }
}
