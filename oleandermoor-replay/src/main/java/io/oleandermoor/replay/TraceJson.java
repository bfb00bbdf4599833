package io.oleandermoor.replay;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.Version;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import io.oleandermoor.state.finding.InvalidInputException;
import io.oleandermoor.state.identity.AdapterName;
import java.io.IOException;
import java.io.Writer;
import java.util.Optional;

/** Text form of traces: one JSON object a line, the header first. */
public final class TraceJson {

    private static final ObjectMapper MAPPER = mapper();

    private TraceJson() {}

    /**
     * Writes a trace.
     *
     * @param source the trace
     * @param writer where to; stays open
     * @throws IOException if writing fails
     * @throws InvalidInputException if the trace has errors
     */
    public static void write(TraceSource source, Writer writer) throws IOException, InvalidInputException {
        writer.write(MAPPER.writeValueAsString(source.deployment()) + "\n");
        Optional<TraceEvent> event = source.next();
        while (event.isPresent()) {
            writer.write(MAPPER.writeValueAsString(event.get()) + "\n");
            event = source.next();
        }
    }

    static <T> T read(String line, Class<T> type) throws JsonProcessingException {
        return MAPPER.readValue(line, type);
    }

    private static ObjectMapper mapper() {
        // An adapter is the only optional value of the format, so no Jackson module for Optional is needed.
        SimpleModule module = new SimpleModule("trace", Version.unknownVersion());
        module.addSerializer(new AdapterSerializer());
        module.addDeserializer(Optional.class, new AdapterDeserializer());
        return new ObjectMapper()
                .registerModule(module)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
    }

    @SuppressWarnings("rawtypes") // Jackson registers serializers by raw type.
    private static final class AdapterSerializer extends JsonSerializer<Optional> {
        @Override
        public Class<Optional> handledType() {
            return Optional.class;
        }

        @Override
        public void serialize(Optional value, JsonGenerator generator, SerializerProvider serializers)
                throws IOException {
            generator.writeString(value.isPresent() ? value.get().toString() : "");
        }
    }

    @SuppressWarnings("rawtypes") // Jackson registers deserializers by raw type.
    private static final class AdapterDeserializer extends JsonDeserializer<Optional> {
        @Override
        public Optional deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            String text = parser.getText();
            return text.isEmpty() ? Optional.empty() : Optional.of(new AdapterName(text));
        }
    }
}
