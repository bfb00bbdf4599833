package io.oleandermoor.state.dispatch;

import io.oleandermoor.state.dispatch.InstanceNotices.Notice;
import io.oleandermoor.state.dispatch.InstanceTable.InstanceSelection;
import io.oleandermoor.state.dispatch.InstanceTable.Shortage;
import java.util.Optional;
import java.util.OptionalLong;

/** Determines why no instance of a service can accept a request, from the instances that were considered. */
final class ShortageFinder {

    /** A pause from which it is worth loading a model at another instance. */
    private static final long LONG_PAUSE_MILLIS = 3_000;

    private final boolean restricted;
    private final boolean versionBound;
    private boolean usable;
    private boolean resident;
    private boolean others;
    private boolean othersMayReturn;
    private boolean withdrawn;
    private long pauseEndMillis = Long.MAX_VALUE;

    /**
     * Creates a finder without instances.
     *
     * @param terms the terms of the request; instances that they exclude are not added
     */
    ShortageFinder(InstanceTable.Terms terms) {
        this.restricted = !terms.allowedRegions().isEmpty();
        this.versionBound = terms.version().isBound();
    }

    /** Adds an instance that is leaving or has asked for a pause. */
    void addWithdrawn(boolean holdsTarget, Optional<Notice> notice) {
        withdrawn = true;
        if (holdsTarget) {
            notice.ifPresent(each -> pauseEndMillis = Math.min(pauseEndMillis, each.untilMillis()));
        }
    }

    /**
     * Adds an instance to which the request was already sent, or which cannot be reached.
     *
     * @param mayReturn whether the request may still be sent to it later
     */
    void addUnusable(boolean mayReturn) {
        others = true;
        othersMayReturn |= mayReturn;
    }

    /** Adds an instance that accepts requests. */
    void addUsable(boolean holdsTarget) {
        usable = true;
        resident |= holdsTarget;
    }

    /** Returns the selection of no instance. */
    InstanceSelection selection(long nowMillis) {
        boolean paused = pauseEndMillis != Long.MAX_VALUE;
        return new InstanceSelection(
                Optional.empty(),
                Optional.of(shortage(nowMillis)),
                paused ? OptionalLong.of(pauseEndMillis) : OptionalLong.empty());
    }

    private Shortage shortage(long nowMillis) {
        if (resident) {
            return Shortage.FULL;
        }
        boolean pausedBriefly = pauseEndMillis - LONG_PAUSE_MILLIS <= nowMillis;
        if (usable) {
            return pausedBriefly ? Shortage.WITHDRAWN : Shortage.NOT_RESIDENT;
        }
        if (versionBound && !withdrawn && !othersMayReturn) {
            // Another instance that starts with this version is not to be expected.
            return Shortage.NO_INSTANCE_OF_VERSION;
        }
        if (restricted && !withdrawn && !others) {
            return Shortage.NO_ALLOWED_INSTANCE;
        }
        return withdrawn && !others ? Shortage.WITHDRAWN : Shortage.NO_INSTANCE;
    }
}
