// Bundles the program and the tools into dist. With --platform it bundles the platform adapter into
// target instead, or into the folder that follows --into. With --executable it also builds dist/redwingwharf, a single executable that
// needs no node_modules.
import { execFileSync } from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  existsSync,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import { build } from 'esbuild';

// Marker in the Node.js binary that postject flips when it adds the application; fixed by Node.js.
const SEA_SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const version = JSON.parse(readFileSync('package.json', 'utf8')).version;

// Pairs of source and bundle; sources that do not exist are skipped.
const ENTRY_POINTS = [
  ['src/main.ts', 'dist/redwingwharf.cjs'],
  ['src/main.ts', 'dist/redwingwharf-test.cjs'],
  ['fakes/main.ts', 'dist/fakes.cjs'],
  ['tools/demo.ts', 'dist/tools/demo.cjs'],
  ['tools/bench.ts', 'dist/tools/bench.cjs'],
  ['tools/slopes.ts', 'dist/tools/slopes.cjs'],
  ['tools/soak.ts', 'dist/tools/soak.cjs'],
  ['tools/soak/NetworkPreload.ts', 'dist/tools/network.cjs'],
  ['tools/overhead.ts', 'dist/tools/overhead.cjs'],
  ['platform/main.ts', 'dist/redwingwharf-platform-test.cjs'],
  ['platform/soak/main.ts', 'dist/tools/fleetsoak.cjs'],
];

// Bundles without TEST_ONLY code; all others contain it.
const SHIPPED_BUNDLES = new Set(['dist/redwingwharf.cjs']);

async function bundle(source, output, isShipped = SHIPPED_BUNDLES.has(output)) {
  await build({
    entryPoints: [source],
    outfile: output,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Bundles need the ES module build of ts-results.
    mainFields: ['module', 'main'],
    define: { __VERSION__: JSON.stringify(version) },
    logLevel: 'warning',
    // Switches that disable a mechanism for the soak are compiled out of the shipped bundles.
    dropLabels: isShipped ? ['TEST_ONLY'] : [],
    minifySyntax: true,
  });
}

// Injects the bundle into a copy of the running Node.js binary.
function makeExecutable() {
  const config = {
    main: 'dist/redwingwharf.cjs',
    output: 'dist/redwingwharf.blob',
    disableExperimentalSEAWarning: true,
  };
  writeFileSync('dist/sea.json', JSON.stringify(config));
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'pipe' });
  copyFileSync(process.execPath, 'dist/redwingwharf');
  chmodSync('dist/redwingwharf', 0o755);
  execFileSync(
    'node_modules/.bin/postject',
    [
      'dist/redwingwharf',
      'NODE_SEA_BLOB',
      'dist/redwingwharf.blob',
      '--sentinel-fuse',
      SEA_SENTINEL_FUSE,
    ],
    { stdio: 'pipe' },
  );
}

if (process.argv.includes('--platform')) {
  const position = process.argv.indexOf('--into');
  const folder = position < 0 ? 'target' : process.argv[position + 1];
  mkdirSync(folder, { recursive: true });
  await bundle('platform/main.ts', `${folder}/redwingwharf-platform.cjs`, true);
} else {
  mkdirSync('dist/tools', { recursive: true });
  for (const [source, output] of ENTRY_POINTS) {
    if (existsSync(source)) {
      await bundle(source, output);
    }
  }
}
if (process.argv.includes('--executable')) {
  makeExecutable();
}
