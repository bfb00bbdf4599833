package io.oleandermoor.coordination.configuration;

/** Thrown when a content was deleted after the head that names it had been read. */
final class MissingContentException extends Exception {

    MissingContentException(String key) {
        super("content " + key + " is missing");
    }
}
