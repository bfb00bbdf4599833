package io.oleandermoor.gateway.soak;

/**
 * What one execution of a request answered.
 *
 * @param instance the instance that executed it
 * @param status the status
 * @param stamp the signature, which no other run has
 * @param body the whole body; for a stream all of its events
 * @param writing what the instance wrote instead of one complete response
 */
record Run(String instance, int status, String stamp, String body, String writing) {

    @Override
    public String toString() {
        return "instance=" + instance + " status=" + status + " stamp=" + stamp + " body="
                + CallerAnswer.abbreviate(body) + " (" + writing + ")";
    }
}
