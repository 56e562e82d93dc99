package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * One field of a schema: its path and type, and the path and form of its stored value.
 *
 * @since 0.1.0
 */
public final class Field {
    private final String path;
    private final FieldType type;
    private final boolean required;
    private final String storedPath;
    private final UnaryOperator<JsonNode> toStored;
    private final UnaryOperator<JsonNode> fromStored;
    private final List<Field> elements;

    private Field(Builder builder) {
        this.path = builder.path;
        this.type = builder.type;
        this.required = builder.required;
        this.storedPath = builder.storedPath;
        this.toStored = builder.toStored;
        this.fromStored = builder.fromStored;
        this.elements = builder.elements;
    }

    /**
     * Returns a builder for the field at a path.
     *
     * @param path the path in the spec, separated by dots
     * @param type the type of the value
     */
    public static Builder at(String path, FieldType type) {
        return new Builder(path, type);
    }

    /** Returns the path in the spec, separated by dots. */
    public String path() {
        return path;
    }

    /** Returns the type of the value. */
    public FieldType type() {
        return type;
    }

    /** Tells whether the field is required. */
    public boolean required() {
        return required;
    }

    /** Returns the path in the stored spec, separated by dots. */
    public String storedPath() {
        return storedPath;
    }

    /** Returns the fields of each element of a list of objects; empty for other types. */
    public List<Field> elements() {
        return elements;
    }

    /**
     * Converts a value of this schema version to its stored form.
     *
     * @param value the value under this schema version
     */
    public JsonNode toStored(JsonNode value) {
        return toStored.apply(value);
    }

    /**
     * Converts a stored value to the form of this schema version.
     *
     * @param value the stored value
     */
    public JsonNode fromStored(JsonNode value) {
        return fromStored.apply(value);
    }

    /**
     * Builder of a field.
     *
     * @since 0.1.0
     */
    public static final class Builder {
        private final String path;
        private final FieldType type;
        private boolean required;
        private String storedPath;
        private UnaryOperator<JsonNode> toStored = UnaryOperator.identity();
        private UnaryOperator<JsonNode> fromStored = UnaryOperator.identity();
        private List<Field> elements = List.of();

        private Builder(String path, FieldType type) {
            this.path = path;
            this.type = type;
            this.storedPath = path;
        }

        /** Makes the field required. */
        public Builder required() {
            this.required = true;
            return this;
        }

        /**
         * Sets the path and form of the stored value, if they differ from those in the spec.
         *
         * @param newStoredPath the path in the stored spec, separated by dots
         * @param newToStored converts a value to its stored form
         * @param newFromStored converts a stored value back
         */
        public Builder storedAt(
                String newStoredPath, UnaryOperator<JsonNode> newToStored, UnaryOperator<JsonNode> newFromStored) {
            this.storedPath = newStoredPath;
            this.toStored = newToStored;
            this.fromStored = newFromStored;
            return this;
        }

        /**
         * Sets the fields of each element of a list of objects.
         *
         * @param newElements the fields of each element
         */
        public Builder elements(Field... newElements) {
            this.elements = List.of(newElements);
            return this;
        }

        /** Builds the field. */
        public Field build() {
            return new Field(this);
        }
    }
}
