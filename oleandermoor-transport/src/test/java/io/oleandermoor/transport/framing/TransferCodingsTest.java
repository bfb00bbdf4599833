package io.oleandermoor.transport.framing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TransferCodingsTest {

    @Nested
    class Parse {

        /** Guards against a recursion that ends the event loop by a stack overflow. */
        @Test
        void takesLongLists() {
            String parameters = ";a=\"" + "\\\"x".repeat(100_000) + "\"";
            assertThat(TransferCodings.parse(List.of("x" + parameters + ",y".repeat(100_000) + ",chunked")))
                    .hasValueSatisfying(
                            codings -> assertThat(codings.endWithChunked()).isTrue());
        }

        @Test
        void isEmptyForAnUnfinishedQuotation() {
            assertThat(TransferCodings.parse(List.of("x;a=\"", "chunked"))).isEmpty();
        }
    }

    @Nested
    class ParseOfSeveralHeaders {

        /** Guards against a quotation that begins in one header and hides the end of the next one. */
        @Test
        void isEmptyForAQuotationAcrossHeaders() {
            assertThat(TransferCodings.parse(List.of("x;a=\"", "\", chunked"))).isEmpty();
        }
    }

    @Nested
    class EndWithChunked {

        @Test
        void isFalseWithoutCodings() {
            assertThat(TransferCodings.parse(List.of("", " ,\t,")))
                    .hasValueSatisfying(
                            codings -> assertThat(codings.endWithChunked()).isFalse());
        }
    }
}
