package io.oleandermoor.state.ledger;

/**
 * A field of an HTTP header.
 *
 * @param name the name
 * @param value the value
 */
public record HeaderField(String name, String value) {}
