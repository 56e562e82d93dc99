package org.radishpass.routing.control;

/**
 * Why an entry of the list of endpoints names none that can be used.
 *
 * @since 0.4.0
 */
public enum EntryFault {
    /** The name cannot be sent to an endpoint. */
    NAME("name", "its name has characters that cannot be sent, or too many"),
    /** The bytes are not text. */
    ENCODING("encoding", "its bytes are not Base64 of UTF-8"),
    /** There is more than any endpoint writes. */
    SIZE("size", "it is larger or more deeply nested than any endpoint's"),
    /** The text is not one JSON object. */
    SYNTAX("syntax", "it is not one JSON object with each key once"),
    /** A field is missing. */
    MISSING("missing", "it lacks a field"),
    /** A field is of another type. */
    TYPE("type", "a field is of another type"),
    /** A field has a value that cannot be used. */
    VALUE("value", "a field has a value that cannot be used");

    private final String label;
    private final String meaning;

    EntryFault(String label, String meaning) {
        this.label = label;
        this.meaning = meaning;
    }

    /** Returns the name in metrics and logs. */
    public String label() {
        return label;
    }

    /** Returns what is wrong, for people. */
    public String meaning() {
        return meaning;
    }
}
