package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * One field of a schema: where it stands, what it holds, and where its value is stored.
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
     * Starts the description of a field.
     *
     * @param path its path in the spec, steps parted by dots
     * @param type what it holds
     */
    public static Builder at(String path, FieldType type) {
        return new Builder(path, type);
    }

    /** Returns the path in the spec, steps parted by dots. */
    public String path() {
        return path;
    }

    /** Returns what it holds. */
    public FieldType type() {
        return type;
    }

    /** Tells whether it must be there. */
    public boolean required() {
        return required;
    }

    /** Returns the path in the stored spec. */
    public String storedPath() {
        return storedPath;
    }

    /** Returns the fields of each element, where this is a list of objects. */
    public List<Field> elements() {
        return elements;
    }

    /**
     * Turns a value into its stored form.
     *
     * @param value the value under this schema
     */
    public JsonNode toStored(JsonNode value) {
        return toStored.apply(value);
    }

    /**
     * Turns a stored value into this schema's form.
     *
     * @param value the stored value
     */
    public JsonNode fromStored(JsonNode value) {
        return fromStored.apply(value);
    }

    /**
     * Builds a field.
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

        /** Makes the field one that must be there. */
        public Builder mustBeThere() {
            this.required = true;
            return this;
        }

        /**
         * Sets where and how the value is stored, if not as it stands.
         *
         * @param newStoredPath the path in the stored spec
         * @param to turns a value into its stored form
         * @param from turns a stored value back
         */
        public Builder storedAt(String newStoredPath, UnaryOperator<JsonNode> to, UnaryOperator<JsonNode> from) {
            this.storedPath = newStoredPath;
            this.toStored = to;
            this.fromStored = from;
            return this;
        }

        /**
         * Sets the fields of each element of a list of objects.
         *
         * @param newElements the fields
         */
        public Builder of(Field... newElements) {
            this.elements = List.of(newElements);
            return this;
        }

        /** Returns the field. */
        public Field build() {
            return new Field(this);
        }
    }
}
