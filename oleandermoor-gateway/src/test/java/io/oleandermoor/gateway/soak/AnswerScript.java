package io.oleandermoor.gateway.soak;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What an instance writes for one request: a response, complete or not, and by chance a second copy of it.
 *
 * @param run what the run answers
 * @param response the bytes of the response that are written
 * @param ending what the instance does behind the response, or behind a copy that follows it at once
 * @param copy the bytes of the copy that are written
 * @param copyTime when the copy is written
 * @param pauseMillis how long the instance pauses wherever it does
 */
record AnswerScript(Run run, String response, Ending ending, String copy, CopyTime copyTime, int pauseMillis) {

    /** What an instance does with the connection. */
    enum Ending {
        KEEP,
        CLOSE,
        RESET
    }

    /** When an instance writes a second copy. */
    enum CopyTime {
        NEVER,
        /** Together with the end of the response. */
        ATTACHED,
        /** After a pause in which the response has arrived. */
        SHORTLY,
        /** While the connection is idle, unless the next request comes sooner. */
        IDLE,
        /** Together with the next response of the connection. */
        BEFORE_NEXT;

        boolean atOnce() {
            return this == ATTACHED || this == SHORTLY;
        }

        static CopyTime draw(UniformRandomProvider random) {
            return values()[1 + random.nextInt(values().length - 1)];
        }
    }

    /** How often an instance does worse than to answer twice, which makes an entry avoid its kept connections. */
    enum Temper {
        /** All answers and copies are complete. */
        COMPLETE(0),
        /** A few answers or copies are not complete, or have no id. */
        SELDOM_BROKEN(2),
        /** Any answer or copy may be broken. */
        OFTEN_BROKEN(100);

        private final int brokenOfHundred;

        Temper(int brokenOfHundred) {
            this.brokenOfHundred = brokenOfHundred;
        }

        boolean breaks(UniformRandomProvider random) {
            return random.nextInt(100) < brokenOfHundred;
        }
    }

    /** The request that is answered, as far as the answer depends on it. */
    record Question(String requestId, boolean stream, int lastEvent, String instance, String stamp, Temper temper) {}

    /** A part of a copy that is shorter cannot be told from the bytes of a body. */
    private static final int RECOGNIZABLE_BYTES = "HTTP/1.1 200 ".length();

    private static final int SUCCESSES_OF_TEN = 7;
    private static final int STUTTERS_OF_TEN = 4;
    private static final int MAXIMUM_PAUSE_MILLIS = 15;
    private static final int LONG_BODY_BYTES = 6_000;
    private static final int SHORT_BODY_BYTES = 40;

    /** Draws what an instance writes. */
    static AnswerScript draw(Question question, UniformRandomProvider random) {
        boolean success = random.nextInt(10) < SUCCESSES_OF_TEN;
        boolean mayBreak = question.temper().breaks(random);
        String id = success || !mayBreak || random.nextInt(3) > 0 ? question.requestId() : "";
        List<String> parts = parts(question, success, random);
        Framing framing = Framing.draw(random);
        String status = success ? "200 OK" : "500 Internal Server Error";
        String response = framing.response(status, question.stamp(), id, parts, random);
        String copy = random.nextBoolean()
                ? response
                : Framing.LENGTH.response("200 OK", question.stamp(), question.requestId(), List.of("ok"), random);
        String body = success && question.stream()
                ? String.join("", SoakEvents.after(question.requestId(), 0))
                : String.join("", parts);
        Draft draft = new Draft(response, framing, response.indexOf("\r\n\r\n") + 4, mayBreak);
        draft.draw(copy, random);
        String writing = framing + " id=" + !id.isEmpty() + " wrote " + draft.written + " of " + response.length()
                + " bytes, then " + draft.ending + ", copy " + draft.copyTime + " "
                + (copy.equals(response) ? "same " : "short ") + draft.copy.length() + " of " + copy.length();
        return new AnswerScript(
                new Run(question.instance(), success ? 200 : 500, question.stamp(), body, writing),
                response.substring(0, draft.written),
                draft.ending,
                draft.copy,
                draft.copyTime,
                random.nextInt(MAXIMUM_PAUSE_MILLIS));
    }

    private static List<String> parts(Question question, boolean success, UniformRandomProvider random) {
        if (!success) {
            return random.nextBoolean() ? List.of() : List.of("failed " + question.stamp());
        }
        if (question.stream()) {
            return SoakEvents.after(question.requestId(), question.lastEvent());
        }
        int length = random.nextInt(random.nextInt(4) == 0 ? LONG_BODY_BYTES : SHORT_BODY_BYTES);
        String text = question.stamp() + " " + "abcdefghi ".repeat(LONG_BODY_BYTES / 10);
        String body = text.substring(0, length);
        int middle = length / 2;
        List<String> parts = new ArrayList<>();
        parts.add(body.substring(0, middle));
        parts.add(body.substring(middle));
        return parts;
    }

    /** A script of which the faults are not drawn yet. */
    private static final class Draft {

        private final String response;
        private final Framing framing;
        private final int headBytes;
        private final boolean mayBreak;
        private int written;
        private Ending ending = Ending.KEEP;
        private String copy = "";
        private CopyTime copyTime = CopyTime.NEVER;

        Draft(String response, Framing framing, int headBytes, boolean mayBreak) {
            this.response = response;
            this.framing = framing;
            this.headBytes = headBytes;
            this.mayBreak = mayBreak;
            this.written = response.length();
        }

        void draw(String completeCopy, UniformRandomProvider random) {
            boolean stutters = random.nextInt(10) < STUTTERS_OF_TEN && (mayBreak || framing != Framing.UNTIL_CLOSE);
            if (stutters && mayBreak && random.nextInt(3) == 0) {
                breakOff(random);
            }
            boolean broken = written < response.length();
            if (stutters && ending == Ending.KEEP && (!broken || random.nextInt(4) > 0)) {
                copyTime = CopyTime.draw(random);
                if (!copyTime.atOnce() && (broken || framing == Framing.UNTIL_CLOSE)) {
                    copyTime = CopyTime.SHORTLY;
                }
                drawCopy(completeCopy, random);
            }
            // What the end of the connection completes must not be incomplete: nobody could tell.
            if (framing == Framing.UNTIL_CLOSE && ending == Ending.KEEP && (!broken || !copy.isEmpty())) {
                ending = Ending.CLOSE;
            }
        }

        /** At least a byte is written: a copy instead of a whole response could not be told from it. */
        private void breakOff(UniformRandomProvider random) {
            boolean withinHead = random.nextBoolean();
            written = 1 + random.nextInt((withinHead ? headBytes : response.length()) - 1);
            ending = Ending.values()[random.nextInt(Ending.values().length)];
            if (framing == Framing.UNTIL_CLOSE && written >= headBytes && ending == Ending.CLOSE) {
                ending = Ending.RESET;
            }
        }

        private void drawCopy(String completeCopy, UniformRandomProvider random) {
            int bytes = !mayBreak || random.nextInt(3) == 0
                    ? completeCopy.length()
                    : 1 + random.nextInt(completeCopy.length());
            int missing = response.length() - written;
            boolean fills = framing == Framing.UNTIL_CLOSE || bytes == missing;
            if (fills && bytes < RECOGNIZABLE_BYTES) {
                bytes = RECOGNIZABLE_BYTES;
            }
            copy = completeCopy.substring(0, bytes);
        }
    }
}
