package org.radishpass.routing.control;

/**
 * The reason why an entry of the endpoint list does not describe a usable endpoint.
 *
 * @since 0.4.0
 */
public enum EntryFault {
    /** The name is too long or contains characters that cannot be sent to an endpoint. */
    NAME("name", "its name has characters that cannot be sent, or too many"),
    /** The content is not Base64-encoded UTF-8 text. */
    ENCODING("encoding", "its bytes are not Base64 of UTF-8"),
    /** The entry is larger or more deeply nested than any that an endpoint writes. */
    SIZE("size", "it is larger or more deeply nested than any endpoint's"),
    /** The text is not a single JSON object with unique keys. */
    SYNTAX("syntax", "it is not one JSON object with each key once"),
    /** A field is missing. */
    MISSING("missing", "it lacks a field"),
    /** A field has an unexpected type. */
    TYPE("type", "a field is of another type"),
    /** A field has a value that cannot be used. */
    VALUE("value", "a field has a value that cannot be used"),
    /** The decoder failed unexpectedly. */
    DECODER("decoder", "the decoder failed on it, which is a fault of this router");

    private final String label;
    private final String meaning;

    EntryFault(String label, String meaning) {
        this.label = label;
        this.meaning = meaning;
    }

    /** Returns the label of this fault in metrics and logs. */
    public String label() {
        return label;
    }

    /** Returns a description of this fault for operators. */
    public String meaning() {
        return meaning;
    }
}
