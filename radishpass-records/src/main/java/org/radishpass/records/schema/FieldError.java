package org.radishpass.records.schema;

/**
 * A validation error of one field.
 *
 * @param path the path of the field in the record
 * @param message what is wrong and which value is expected
 * @since 0.1.0
 */
public record FieldError(String path, String message) {
    @Override
    public String toString() {
        return path + " " + message;
    }
}
