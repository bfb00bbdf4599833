package io.oleandermoor.benchmark;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.Param;

/** Checks the file of bounds without running a benchmark. */
final class BoundTest {

    private static final Path FILE = Path.of("..", "config", "benchmark-bounds.csv");

    /** Guards against a bound that is never checked because its benchmark, parameter or counter was renamed. */
    @Test
    void everyBoundNamesAnExistingBenchmark() throws Exception {
        List<Bound> bounds = Bound.read(FILE);
        assertThat(bounds).isNotEmpty();
        for (Bound bound : bounds) {
            String[] name = bound.benchmark().split("\\.");
            Class<?> type = Class.forName("io.oleandermoor.benchmark." + name[0]);
            Method method = Arrays.stream(type.getMethods())
                    .filter(candidate -> candidate.getName().equals(name[1]))
                    .findFirst()
                    .orElseThrow();
            assertThat(method.isAnnotationPresent(Benchmark.class))
                    .as(bound.benchmark())
                    .isTrue();
            if (bound.isCounter()) {
                assertThat(method.getParameterTypes()[0].getField(bound.metric()))
                        .isNotNull();
            } else {
                assertThat(bound.unit())
                        .isIn(bound.metric().equals(Bound.GROWTH) ? Set.of("ratio") : Set.of("us", "ms"));
                Mode mode = type.getAnnotation(BenchmarkMode.class).value()[0];
                assertThat(mode == Mode.SampleTime || !bound.metric().equals(Bound.P99))
                        .isTrue();
            }
            for (Map<String, String> parameters : bound.parameters()) {
                for (Map.Entry<String, String> parameter : parameters.entrySet()) {
                    Param values = type.getDeclaredField(parameter.getKey()).getAnnotation(Param.class);
                    assertThat(values.value()).contains(parameter.getValue());
                }
            }
        }
    }

    /** Guards against damaged lines that are skipped in silence. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "A.b,,mean,1,us",
                "A,,mean,1,us,t",
                "A.b,,growth,1,ratio,t",
                "A.b,,mean,0,us,t",
                "A.b,x,mean,1,us,t"
            })
    void damagedLinesAreReportedWithTheirNumber(String line, @TempDir Path directory) throws IOException {
        Path file = directory.resolve("bounds.csv");
        Files.writeString(file, "# comment\n" + line + "\n");
        assertThatThrownBy(() -> Bound.read(file))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("bounds.csv:2");
    }
}
