package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks a spec against a schema and says, for each wrong field, what to write instead.
 *
 * @since 0.1.0
 */
public final class SchemaCheck {
    private SchemaCheck() {
        // static methods only
    }

    /**
     * Returns the faults of a spec; none when it may be applied.
     *
     * @param fields the schema
     * @param spec the spec
     */
    public static List<FieldFault> faults(List<Field> fields, JsonNode spec) {
        List<FieldFault> faults = new ArrayList<>();
        check("spec", fields, spec, faults);
        return faults;
    }

    private static void check(String where, List<Field> fields, JsonNode object, List<FieldFault> faults) {
        for (Field field : fields) {
            checkField(where, field, Paths.read(object, field.path()), faults);
        }
        checkUnknown(where, "", fields, object, faults);
    }

    private static void checkField(String where, Field field, JsonNode value, List<FieldFault> faults) {
        String name = where + "." + field.path();
        if (value.isMissingNode()) {
            if (field.required()) {
                faults.add(
                        new FieldFault(name, "is missing; write " + field.type().expected()));
            }
            return;
        }
        if (!field.type().accepts(value)) {
            faults.add(new FieldFault(
                    name, "is " + value + "; write " + field.type().expected()));
            return;
        }
        for (int i = 0; i < value.size() && !field.elements().isEmpty(); i++) {
            check(name + "[" + i + "]", field.elements(), value.get(i), faults);
        }
    }

    private static void checkUnknown(
            String where, String prefix, List<Field> fields, JsonNode object, List<FieldFault> faults) {
        for (Map.Entry<String, JsonNode> entry : object.properties()) {
            String path = prefix + entry.getKey();
            boolean known = fields.stream().anyMatch(field -> field.path().equals(path));
            boolean inner = fields.stream().anyMatch(field -> field.path().startsWith(path + "."));
            if (inner && entry.getValue().isObject()) {
                checkUnknown(where, path + ".", fields, entry.getValue(), faults);
            } else if (!known) {
                List<String> names = fields.stream().map(Field::path).toList();
                faults.add(new FieldFault(where + "." + path, "is not known; known are " + names));
            }
        }
    }
}
