// Generates src/gen from proto/ and schema/. With --check it writes to a temporary directory
// instead and fails if the committed code differs.
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, mkdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { delimiter, join, relative, resolve } from 'node:path';
import { Ajv } from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import { compile } from 'json-schema-to-typescript';

const COMMITTED_DIRECTORY = 'src/gen';
const isCheck = process.argv.includes('--check');
const output = isCheck ? mkdtempSync(join(tmpdir(), 'redwingwharf-gen-')) : COMMITTED_DIRECTORY;

// Lists the files below a directory by relative path, sorted.
function listFiles(folder) {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => relative(folder, join(entry.parentPath ?? entry.path, entry.name)))
    .sort();
}

// Generates the TypeScript types of a JSON schema, and the schema itself as a constant.
async function generateSchema(name) {
  const schema = JSON.parse(readFileSync(`schema/${name}.schema.json`, 'utf8'));
  const banner = `// Generated from schema/${name}.schema.json. Do not edit.`;
  const types = await compile(structuredClone(schema), name, {
    bannerComment: banner,
    additionalProperties: false,
  });
  const literal = JSON.stringify(schema, undefined, 2);
  const constant = `${name.toUpperCase()}_SCHEMA`;
  return `${types}\n/** JSON schema that the types above were generated from. */\nexport const ${constant} = ${literal};\n`;
}

// Generates the validator of a JSON schema, so that running processes do not need the compiler of ajv.
function generateValidator(name) {
  const schema = JSON.parse(readFileSync(`schema/${name}.schema.json`, 'utf8'));
  const ajv = new Ajv({
    allErrors: true,
    useDefaults: true,
    verbose: true,
    code: { source: true, esm: true, lines: true },
  });
  const imports = new Set();
  const code = standalone
    .default(ajv, ajv.compile(schema))
    .replace(/require\("ajv\/dist\/runtime\/(\w+)"\)\.default/g, (_call, helper) => {
      imports.add(`import ${helper} from 'ajv/dist/runtime/${helper}.js';`);
      // The import is the exports object of the CommonJS module in Node.js, but its default export
      // in vitest.
      return `${helper}.default ?? ${helper}`;
    });
  if (code.includes('require(')) {
    throw new Error(
      `the validator of ${name} requires a module outside ajv/dist/runtime; only that directory is imported`,
    );
  }
  return [
    `// Generated from schema/${name}.schema.json. Do not edit.`,
    '// @ts-nocheck',
    ...imports,
    code,
  ].join('\n');
}

execFileSync('node_modules/.bin/buf', ['generate', '--output', isCheck ? output : '.'], {
  stdio: 'inherit',
  env: { ...process.env, PATH: `${resolve('node_modules/.bin')}${delimiter}${process.env.PATH}` },
});
const target = isCheck ? join(output, COMMITTED_DIRECTORY) : COMMITTED_DIRECTORY;
mkdirSync(target, { recursive: true });
for (const name of ['settings', 'operator']) {
  writeFileSync(join(target, `${name}.ts`), await generateSchema(name));
  writeFileSync(join(target, `${name}Validator.ts`), generateValidator(name));
}
if (isCheck) {
  const expected = listFiles(target);
  const actual = listFiles(COMMITTED_DIRECTORY);
  const differing = [...new Set([...expected, ...actual])].filter(
    (file) =>
      !expected.includes(file) ||
      !actual.includes(file) ||
      readFileSync(join(target, file), 'utf8') !==
        readFileSync(join(COMMITTED_DIRECTORY, file), 'utf8'),
  );
  rmSync(output, { recursive: true });
  if (differing.length > 0) {
    console.error(`Generated code is out of date: ${differing.join(', ')}. Run npm run generate.`);
    process.exit(1);
  }
}
