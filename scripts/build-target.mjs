/**
 * Bundles the daemon into target/ so that it reads few files on startup.
 */
import * as fs from 'node:fs'
import * as esbuild from 'esbuild'

const REQUIRE_BANNER = "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);"

/**
 * The package with koa's table of all media types. Two copies of it would make up half of what is read on startup, and daemons send only four
 * media types, so the bundle uses `media-types.json` instead, which lists those four in the same format.
 */
const MEDIA_TYPES_PACKAGE = 'mime-db'

fs.rmSync('target', { recursive: true, force: true })

await esbuild.build({
  entryPoints: { switchridged: 'packages/daemon/src/main.ts' },
  outdir: 'target',
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  logLevel: 'warning',
  banner: { js: REQUIRE_BANNER },
  alias: { ...await readWorkspaceAliases(), [MEDIA_TYPES_PACKAGE]: './scripts/media-types.json' }
})

/** Maps workspace packages to their sources, so that the bundle doesn't depend on compiled files. */
async function readWorkspaceAliases () {
  const folders = [...fs.readdirSync('packages').map((name) => `packages/${name}`), 'platform']
  const aliases = {}
  for (const folder of folders) {
    const { name } = JSON.parse(fs.readFileSync(`${folder}/package.json`, 'utf8'))
    aliases[name] = `./${folder}/src/index.ts`
  }
  return aliases
}
