package io.oleandermoor.standin.service;

/**
 * Failures that the service stand-in shows.
 *
 * @param delayMillis time before a call runs, in milliseconds
 * @param loseAnswers fraction of calls that run but are not answered
 * @param silent whether calls run and are never answered
 * @param crashOnText the process ends when a call has this text in its body, after the call ran; empty for none
 */
public record ServiceFaults(int delayMillis, double loseAnswers, boolean silent, String crashOnText) {

    /** No failures. */
    public static final ServiceFaults NONE = new ServiceFaults(0, 0, false, "");

    /** Replaces values that were not given. */
    public ServiceFaults {
        crashOnText = crashOnText == null ? "" : crashOnText;
    }
}
