package io.oleandermoor.transport.settings;

/** What an engine does with the fencing number of an order. */
public enum FencingSupport {
    /** The engine rejects an order with an older number than it has seen. */
    ENFORCED,
    /** The engine ignores the number, so orders of earlier terms may still take effect. */
    IGNORED
}
