import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A configuration like that of a small deployment: the routes and limits of the site dderwen-press. */
final class Config {

    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private Config() {}

    static Map<String, Object> route(String name, String prefix, String kind, String service, long timeout, long attempts) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", name);
        fields.put("host", HOST);
        fields.put("path-prefix", prefix);
        fields.put("kind", kind);
        fields.put("timeout-ms", timeout);
        fields.put("target-latency-ms", 500L);
        fields.put("priority", 1L);
        fields.put("service", service);
        fields.put("max-attempts", attempts);
        fields.put("allow-anonymous", false);
        fields.put("sticky-sessions", kind.equals("streaming"));
        fields.put("resumable", kind.equals("streaming") && attempts > 1);
        fields.put("gap-target-ms", 150L);
        return fields;
    }

    static Map<String, Object> engine() {
        Map<String, Object> model = new LinkedHashMap<>();
        model.put("name", "m0");
        model.put("weights-mb", 72_700.0);
        model.put("load-time-s", 5.8);
        model.put("adapters", 26L);
        model.put("adapter-mb", 66.0);
        Map<String, Object> engine = new LinkedHashMap<>();
        engine.put("slots", 64L);
        engine.put("kv-capacity", 158_517L);
        engine.put("weights-mb", 200_000.0);
        engine.put("adapter-slots", 8L);
        engine.put("loads-per-s", 1.4);
        engine.put("models", List.of(model));
        return engine;
    }

    static Map<String, Object> of(long version) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put(
                "routes",
                List.of(
                        route("r-once", "/once/", "unsafe", "shop", 12_000, 1),
                        route("r-look", "/look/", "safe", "shop", 12_000, 2),
                        route("r-live", "/live/", "streaming", "llm", 12_000, 2)));
        Map<String, Object> llm = new LinkedHashMap<>();
        llm.put("name", "llm");
        llm.put("health-path", "/health");
        llm.put("max-connections", 370L);
        llm.put("engine", engine());
        Map<String, Object> shop = new LinkedHashMap<>();
        shop.put("name", "shop");
        shop.put("health-path", "/health");
        shop.put("max-connections", 110L);
        config.put("services", List.of(llm, shop));
        config.put(
                "limits",
                Map.of(
                        "max-header-bytes", 16_384L,
                        "max-body-bytes", 4_194_304L,
                        "header-timeout-ms", 3_000L,
                        "idle-timeout-ms", 15_000L));
        config.put("tenants", List.of(Map.of("name", "hule930", "api-keys", List.of(KEY))));
        return config;
    }
}
