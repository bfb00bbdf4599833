package io.oleandermoor.state.ledger;

/**
 * Field of an HTTP header.
 *
 * @param name the field name
 * @param value the field value
 */
public record HeaderField(String name, String value) {}
