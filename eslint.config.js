import tseslint from "typescript-eslint";

/** The TypeScript team's guidelines as far as a linter can hold them; docs/HOUSE-STYLE.md has the rest. */
export default tseslint.config(
    {
        ignores: [
            "**/dist/**",
            "target/**",
            "journal/**",
            "deploy/bundle.mjs",
            "**/node_modules/**",
            "out/**",
            "eslint.config.js",
        ],
    },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
            "prefer-const": "error",
            "no-var": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: { arguments: false } }],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "import", format: null },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
                { selector: "typeLike", format: ["PascalCase"], leadingUnderscore: "forbid" },
                {
                    selector: "interface",
                    format: ["PascalCase"],
                    custom: { regex: "^I[A-Z]", match: false },
                },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: ["objectLiteralProperty", "typeProperty", "objectLiteralMethod"], format: null },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "ImportSpecifier", message: "Import namespaces: import * as name from …" },
                { selector: "FunctionExpression[parent.type='VariableDeclarator']", message: "Use an arrow function." },
                { selector: "Literal[raw='null']", message: "Use undefined." },
            ],
        },
    },
);
