package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Validates specs against a schema and describes, for each invalid field, the expected value.
 *
 * @since 0.1.0
 */
public final class SchemaValidator {
    private SchemaValidator() {
        // static methods only
    }

    /**
     * Validates a spec and returns its errors; the list is empty if the spec is valid.
     *
     * @param fields the fields of the schema
     * @param spec the spec to validate
     */
    public static List<FieldError> validate(List<Field> fields, JsonNode spec) {
        List<FieldError> errors = new ArrayList<>();
        validateObject("spec", fields, spec, errors);
        return errors;
    }

    private static void validateObject(
            String objectPath, List<Field> fields, JsonNode object, List<FieldError> errors) {
        for (Field field : fields) {
            validateField(objectPath, field, JsonPaths.read(object, field.path()), errors);
        }
        rejectUnknownFields(objectPath, "", fields, object, errors);
    }

    private static void validateField(String objectPath, Field field, JsonNode value, List<FieldError> errors) {
        String fieldPath = objectPath + "." + field.path();
        if (value.isMissingNode()) {
            if (field.required()) {
                errors.add(new FieldError(
                        fieldPath, "is missing; write " + field.type().expected()));
            }
            return;
        }
        if (!field.type().accepts(value)) {
            errors.add(new FieldError(
                    fieldPath, "is " + value + "; write " + field.type().expected()));
            return;
        }
        for (int i = 0; i < value.size() && !field.elements().isEmpty(); i++) {
            validateObject(fieldPath + "[" + i + "]", field.elements(), value.get(i), errors);
        }
    }

    private static void rejectUnknownFields(
            String objectPath, String prefix, List<Field> fields, JsonNode object, List<FieldError> errors) {
        for (Map.Entry<String, JsonNode> entry : object.properties()) {
            String path = prefix + entry.getKey();
            boolean known = fields.stream().anyMatch(field -> field.path().equals(path));
            boolean isParent = fields.stream().anyMatch(field -> field.path().startsWith(path + "."));
            if (isParent && entry.getValue().isObject()) {
                rejectUnknownFields(objectPath, path + ".", fields, entry.getValue(), errors);
            } else if (!known) {
                List<String> names = fields.stream().map(Field::path).toList();
                errors.add(new FieldError(objectPath + "." + path, "is not known; known are " + names));
            }
        }
    }
}
