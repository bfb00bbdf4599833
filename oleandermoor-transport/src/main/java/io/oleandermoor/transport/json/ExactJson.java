package io.oleandermoor.transport.json;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.math.BigInteger;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Reads and writes JSON without rounding its numbers. */
public final class ExactJson {

    /** Reads each number in full and writes it with the same value. Safe for use by several threads. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .nodeFactory(JsonNodeFactory.withExactBigDecimals(true))
            .build();

    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,19}");

    private ExactJson() {}

    /**
     * Returns the whole number of 64 bits in a node, which may be a number or, as in the JSON form of protocol buffers,
     * its decimal digits in a text; empty if the node is anything else.
     */
    public static OptionalLong wholeNumber(JsonNode node) {
        if (node.isIntegralNumber() && node.canConvertToLong()) {
            return OptionalLong.of(node.longValue());
        }
        if (!node.isTextual() || !DECIMAL.matcher(node.textValue()).matches()) {
            return OptionalLong.empty();
        }
        JsonNode number = JsonNodeFactory.instance.numberNode(new BigInteger(node.textValue()));
        return number.canConvertToLong() ? OptionalLong.of(number.longValue()) : OptionalLong.empty();
    }
}
