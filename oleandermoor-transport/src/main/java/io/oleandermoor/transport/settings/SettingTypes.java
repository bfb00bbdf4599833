package io.oleandermoor.transport.settings;

import io.oleandermoor.state.identity.KeyHash;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** The forms of values in settings files. */
final class SettingTypes {

    private static final String DECIMAL = "[0-9]{1,15}(?:\\.[0-9]{1,18})?";
    private static final Pattern QUANTITY = Pattern.compile("(" + DECIMAL + ")([A-Za-z]*)");
    private static final Map<String, Long> MILLISECONDS =
            Map.of("ms", 1L, "s", 1_000L, "min", 60_000L, "h", 3_600_000L);
    private static final Map<String, Long> BYTES = Map.of("B", 1L, "KB", 1L << 10, "MB", 1L << 20, "GB", 1L << 30);

    static final SettingType<Duration> DURATION = new SimpleType<>(
            "duration (`ms`, `s`, `min`, `h`)",
            text -> Duration.ofMillis(quantity(text, MILLISECONDS, "a duration such as 500ms, 10s, 5min or 2h")),
            duration -> withUnit(duration.toMillis(), MILLISECONDS));

    static final SettingType<Long> SIZE = new SimpleType<>(
            "size (`B`, `KB`, `MB`, `GB`; powers of 1024)",
            text -> quantity(text, BYTES, "a size such as 512B, 64KB, 64MB or 80GB"),
            bytes -> withUnit(bytes, BYTES));

    static final SettingType<Address> ADDRESS = new SimpleType<>("address (`ip:port`)", Address::parse);

    static final SettingType<List<Address>> ADDRESSES = new SimpleType<>(
            "addresses (`ip:port`, separated by commas)",
            text -> Arrays.stream(text.split(",", -1))
                    .map(part -> Address.parse(part.strip()))
                    .toList(),
            addresses -> addresses.stream().map(Address::toString).collect(Collectors.joining(", ")));

    static final SettingType<String> TEXT = new SimpleType<>("text", text -> text);

    static final SettingType<Map<String, String>> TABLE = new SimpleType<>(
            "table (`[key:value, ...]`)",
            SettingTypes::table,
            table -> table.entrySet().stream()
                    .map(entry -> entry.getKey() + ":" + entry.getValue())
                    .collect(Collectors.joining(", ", "[", "]")));

    static final SettingType<KeyHash> HASH = new SimpleType<>("SHA-256 (64 hexadecimal digits)", KeyHash::new);

    private SettingTypes() {}

    static SettingType<Integer> count(int minimum, int maximum) {
        return new SimpleType<>("whole number, " + minimum + " to " + maximum, text -> {
            if (!text.matches("[0-9]{1,9}") || Integer.parseInt(text) < minimum || Integer.parseInt(text) > maximum) {
                throw new IllegalArgumentException(
                        "'" + text + "' must be a whole number from " + minimum + " to " + maximum);
            }
            return Integer.parseInt(text);
        });
    }

    static SettingType<Double> decimal() {
        return new SimpleType<>("number, not negative", text -> {
            if (!text.matches(DECIMAL)) {
                throw new IllegalArgumentException("'" + text + "' must be a number such as 50 or 0.2");
            }
            return Double.valueOf(text);
        });
    }

    static <E extends Enum<E>> SettingType<E> choice(Class<E> type) {
        List<E> constants = List.of(type.getEnumConstants());
        String names = constants.stream().map(Enum::name).collect(Collectors.joining(", "));
        return new SimpleType<>(
                "one of " + names,
                text -> constants.stream()
                        .filter(constant -> constant.name().equals(text))
                        .findFirst()
                        .orElseThrow(() -> new IllegalArgumentException("'" + text + "' must be one of " + names)));
    }

    static <E extends Enum<E>> SettingType<Set<E>> choices(Class<E> type) {
        SettingType<E> single = choice(type);
        return new SimpleType<>(
                "any of " + single.form().replaceFirst("^one of ", "") + ", separated by commas",
                text -> {
                    Set<E> chosen = EnumSet.noneOf(type);
                    if (!text.isBlank()) {
                        Arrays.stream(text.split(",", -1))
                                .map(part -> single.parse(part.strip()))
                                .forEach(chosen::add);
                    }
                    return Collections.unmodifiableSet(chosen);
                },
                chosen -> chosen.stream().map(Enum::name).collect(Collectors.joining(", ")));
    }

    static <T> SettingType<T> identifier(Function<String, T> type) {
        return new SimpleType<>("identifier", type);
    }

    private static Map<String, String> table(String text) {
        Map<String, String> table = new TreeMap<>();
        if (text.length() < 2 || !text.startsWith("[") || !text.endsWith("]")) {
            throw new IllegalArgumentException("'" + text + "' must be a table such as [a:x, b:y]");
        }
        String rows = text.substring(1, text.length() - 1);
        for (String row : rows.isBlank() ? new String[0] : rows.split(",", -1)) {
            int colon = row.lastIndexOf(':');
            String key = colon < 0 ? "" : row.substring(0, colon).strip();
            String value = row.substring(colon + 1).strip();
            if (key.isEmpty() || value.isEmpty() || table.put(key, value) != null) {
                throw new IllegalArgumentException("'" + row.strip() + "' must be key:value with a key of its own");
            }
        }
        return Collections.unmodifiableMap(table);
    }

    private static long quantity(String text, Map<String, Long> units, String expected) {
        Matcher matcher = QUANTITY.matcher(text);
        Long factor = matcher.matches() ? units.get(matcher.group(2)) : null;
        if (factor == null) {
            throw new IllegalArgumentException("'" + text + "' must be " + expected);
        }
        try {
            // What is less than the smallest unit is dropped, so that a bound is never exceeded.
            return new BigDecimal(matcher.group(1))
                    .multiply(BigDecimal.valueOf(factor))
                    .setScale(0, RoundingMode.DOWN)
                    .longValueExact();
        } catch (ArithmeticException exception) {
            throw new IllegalArgumentException("'" + text + "' is too large", exception);
        }
    }

    private static String withUnit(long value, Map<String, Long> units) {
        return units.entrySet().stream()
                .filter(unit -> value % unit.getValue() == 0 && value >= unit.getValue())
                .max(Map.Entry.comparingByValue())
                .map(unit -> value / unit.getValue() + unit.getKey())
                .orElseGet(() -> value
                        + Collections.min(units.entrySet(), Map.Entry.comparingByValue())
                                .getKey());
    }

    /** A form with a name, a parser, and a text of its values that the parser reads back. */
    private record SimpleType<T>(String form, Function<String, T> parser, Function<T, String> printer)
            implements SettingType<T> {

        SimpleType(String form, Function<String, T> parser) {
            this(form, parser, String::valueOf);
        }

        @Override
        public T parse(String text) {
            return parser.apply(text);
        }

        @Override
        public String show(T value) {
            return printer.apply(value);
        }
    }
}
