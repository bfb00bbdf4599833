package io.oleandermoor.state.version;

/**
 * The version of the software that an instance runs. What instances of different versions write to a stream does not
 * fit together.
 *
 * @param text the version as the instance states it; empty if it states none
 */
public record SoftwareVersion(String text) {

    /** The version of instances that state none. It equals no stated version. */
    public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    /** Returns whether the instance states a version. */
    public boolean isStated() {
        return !text.isEmpty();
    }

    @Override
    public String toString() {
        return isStated() ? text : "-";
    }
}
