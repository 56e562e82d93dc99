package org.radishpass.records.schema;

/**
 * One wrong field.
 *
 * @param path where it stands in the record
 * @param message what is wrong and what to write instead
 * @since 0.1.0
 */
public record FieldFault(String path, String message) {
    @Override
    public String toString() {
        return path + " " + message;
    }
}
