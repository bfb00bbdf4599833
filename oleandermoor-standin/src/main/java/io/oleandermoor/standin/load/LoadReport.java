package io.oleandermoor.standin.load;

import java.time.Duration;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What became of the requests that took one path. Safe for use by several threads; the lock guards only this object.
 *
 * <p>A request ends in exactly one of: complete, refused, error or wrong.
 */
public final class LoadReport {

    private static final long HIGHEST_MICROS = Duration.ofHours(1).toNanos() / 1_000;

    private static final int DIGITS = 3;

    private final Histogram firstToken = new Histogram(HIGHEST_MICROS, DIGITS);

    private final Histogram betweenTokens = new Histogram(HIGHEST_MICROS, DIGITS);

    private final SortedMap<String, Long> refusals = new TreeMap<>();

    private final SortedMap<String, Long> errors = new TreeMap<>();

    private long sent;

    private long notSent;

    private long complete;

    private long wrong;

    private long tokens;

    private long elapsedNanos;

    private final long startNanos = System.nanoTime();

    private long lastFailureNanos;

    LoadReport() {}

    synchronized void sent() {
        sent++;
    }

    synchronized void notSent() {
        notSent++;
    }

    synchronized void complete(long generated) {
        complete++;
        tokens += generated;
    }

    synchronized void wrong() {
        lastFailureNanos = System.nanoTime() - startNanos;
        wrong++;
    }

    synchronized void refused(String code) {
        lastFailureNanos = System.nanoTime() - startNanos;
        refusals.merge(code, 1L, Long::sum);
    }

    synchronized void error(String kind) {
        lastFailureNanos = System.nanoTime() - startNanos;
        errors.merge(kind, 1L, Long::sum);
    }

    synchronized void firstToken(long nanos) {
        firstToken.recordValue(Math.min(HIGHEST_MICROS, nanos / 1_000));
    }

    synchronized void betweenTokens(long nanos) {
        betweenTokens.recordValue(Math.min(HIGHEST_MICROS, nanos / 1_000));
    }

    synchronized void ended(long nanos) {
        elapsedNanos = nanos;
    }

    /**
     * Returns the number of requests that were sent.
     *
     * @return the number
     */
    public synchronized long sentCount() {
        return sent;
    }

    /**
     * Returns the number of arrivals that were not sent because too many requests were open.
     *
     * @return the number
     */
    public synchronized long notSentCount() {
        return notSent;
    }

    /**
     * Returns the number of requests that received the whole expected answer.
     *
     * @return the number
     */
    public synchronized long completeCount() {
        return complete;
    }

    /**
     * Returns the number of answers with a token that is lost, doubled or not expected.
     *
     * @return the number
     */
    public synchronized long wrongCount() {
        return wrong;
    }

    /**
     * Returns the refusals.
     *
     * @return the number for each HTTP status and code, as in {@code 429 over_rate}
     */
    public synchronized SortedMap<String, Long> refusals() {
        return Collections.unmodifiableSortedMap(new TreeMap<>(refusals));
    }

    /**
     * Returns the requests that failed otherwise.
     *
     * @return the number for each kind of error
     */
    public synchronized SortedMap<String, Long> errors() {
        return Collections.unmodifiableSortedMap(new TreeMap<>(errors));
    }

    /**
     * Returns the time from sending a request to its first token.
     *
     * @param percentile the percentile, from 0 to 100
     * @return the time in milliseconds
     */
    public synchronized double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Returns the time between two events with tokens of a stream.
     *
     * @param percentile the percentile, from 0 to 100
     * @return the time in milliseconds
     */
    public synchronized double betweenTokensMillis(double percentile) {
        return betweenTokens.getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Returns when the last request ended that was not complete.
     *
     * @return seconds from the start of the run, 0 if all requests were complete
     */
    public synchronized double lastFailureSeconds() {
        return lastFailureNanos / 1e9;
    }

    /**
     * Returns the rate of tokens in complete answers, over the whole run.
     *
     * @return tokens per second
     */
    public synchronized double tokensPerSecond() {
        return elapsedNanos == 0 ? 0 : tokens * 1e9 / elapsedNanos;
    }
}
