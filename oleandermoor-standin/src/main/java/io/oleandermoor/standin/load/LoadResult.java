package io.oleandermoor.standin.load;

import java.io.PrintStream;
import java.util.Locale;
import java.util.TreeSet;

/**
 * The reports of one run.
 *
 * @param entries requests that went through entries and agents
 * @param direct requests that went to the engine stand-in
 */
public record LoadResult(LoadReport entries, LoadReport direct) {

    private static final String ROW = "%-34s %14s %14s%n";

    /**
     * Returns whether every answer had exactly the expected tokens.
     *
     * @return true if no answer was wrong
     */
    public boolean isCorrect() {
        return entries.wrongCount() + direct.wrongCount() == 0;
    }

    /**
     * Prints the reports side by side.
     *
     * @param output receives the table
     */
    public void print(PrintStream output) {
        output.printf(ROW, "", "ENTRIES", "DIRECT");
        row(output, "sent", entries.sentCount(), direct.sentCount());
        row(output, "not sent, too many open", entries.notSentCount(), direct.notSentCount());
        row(output, "complete", entries.completeCount(), direct.completeCount());
        row(output, "wrong tokens", entries.wrongCount(), direct.wrongCount());
        TreeSet<String> refusals = new TreeSet<>(entries.refusals().keySet());
        refusals.addAll(direct.refusals().keySet());
        for (String code : refusals) {
            row(
                    output,
                    "refused " + code,
                    entries.refusals().getOrDefault(code, 0L),
                    direct.refusals().getOrDefault(code, 0L));
        }
        TreeSet<String> errors = new TreeSet<>(entries.errors().keySet());
        errors.addAll(direct.errors().keySet());
        for (String kind : errors) {
            row(
                    output,
                    "error " + kind,
                    entries.errors().getOrDefault(kind, 0L),
                    direct.errors().getOrDefault(kind, 0L));
        }
        for (int percentile : new int[] {50, 95, 99}) {
            row(
                    output,
                    "first token p" + percentile + " ms",
                    decimal(entries.firstTokenMillis(percentile)),
                    decimal(direct.firstTokenMillis(percentile)));
        }
        for (int percentile : new int[] {50, 95, 99, 100}) {
            row(
                    output,
                    "between tokens p" + percentile + " ms",
                    decimal(entries.betweenTokensMillis(percentile)),
                    decimal(direct.betweenTokensMillis(percentile)));
        }
        row(
                output,
                "last failure after s",
                decimal(entries.lastFailureSeconds()),
                decimal(direct.lastFailureSeconds()));
        row(output, "tokens/s", decimal(entries.tokensPerSecond()), decimal(direct.tokensPerSecond()));
    }

    private static void row(PrintStream output, String name, Object first, Object second) {
        output.printf(ROW, name, first, second);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
