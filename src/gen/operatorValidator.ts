// Generated from schema/operator.schema.json. Do not edit.
// @ts-nocheck
import ucs2length from 'ajv/dist/runtime/ucs2length.js';
import equal from 'ajv/dist/runtime/equal.js';
"use strict";
export const validate = validate10;
export default validate10;
const schema11 = {"$schema":"http://json-schema.org/draft-07/schema#","$id":"operator.schema.json","title":"OperatorFile","description":"A short file beside a service's code: redwingwharf.json.","type":"object","additionalProperties":false,"properties":{"services":{"type":"array","items":{"$ref":"#/definitions/service"}},"clientAccounts":{"type":"array","items":{"$ref":"#/definitions/clientAccount"}},"weights":{"type":"array","items":{"$ref":"#/definitions/weights"}}},"definitions":{"name":{"type":"string","pattern":"^[a-z0-9][a-z0-9._-]{0,62}$","description":"1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit."},"service":{"title":"ServiceEntry","type":"object","additionalProperties":false,"required":["name","kind"],"properties":{"name":{"$ref":"#/definitions/name"},"kind":{"enum":["model","plain"]},"models":{"type":"array","items":{"type":"string","minLength":1,"maxLength":128},"uniqueItems":true},"routes":{"type":"array","items":{"$ref":"#/definitions/route"}},"defaultOutputTokens":{"type":"integer","minimum":1,"maximum":1000000,"default":512},"timeoutMs":{"type":"integer","minimum":100,"maximum":3600000,"default":120000}}},"route":{"title":"RouteEntry","type":"object","additionalProperties":false,"required":["path"],"properties":{"path":{"type":"string","pattern":"^/[^?#]*$","maxLength":512,"description":"Path prefix, matched by whole segments."},"methods":{"type":"array","items":{"enum":["GET","HEAD","POST","PUT","PATCH","DELETE"]},"uniqueItems":true},"open":{"type":"boolean","default":false,"description":"Anybody may call the route without a key."},"nonRepeatable":{"type":"boolean","default":false,"description":"A call may run at most once."}}},"clientAccount":{"title":"ClientAccountEntry","type":"object","additionalProperties":false,"required":["id","tokensPerSecond","burstTokens","services"],"properties":{"id":{"$ref":"#/definitions/name"},"tokensPerSecond":{"type":"number","exclusiveMinimum":0,"maximum":1000000000},"burstTokens":{"type":"number","exclusiveMinimum":0,"maximum":1000000000},"services":{"type":"array","items":{"$ref":"#/definitions/name"},"uniqueItems":true},"priority":{"type":"integer","minimum":0,"maximum":9,"default":5}}},"weights":{"title":"WeightsEntry","type":"object","additionalProperties":false,"required":["model","version"],"properties":{"model":{"type":"string","minLength":1,"maxLength":128},"version":{"type":"string","minLength":1,"maxLength":128}}}}};
const schema18 = {"title":"WeightsEntry","type":"object","additionalProperties":false,"required":["model","version"],"properties":{"model":{"type":"string","minLength":1,"maxLength":128},"version":{"type":"string","minLength":1,"maxLength":128}}};
const schema12 = {"title":"ServiceEntry","type":"object","additionalProperties":false,"required":["name","kind"],"properties":{"name":{"$ref":"#/definitions/name"},"kind":{"enum":["model","plain"]},"models":{"type":"array","items":{"type":"string","minLength":1,"maxLength":128},"uniqueItems":true},"routes":{"type":"array","items":{"$ref":"#/definitions/route"}},"defaultOutputTokens":{"type":"integer","minimum":1,"maximum":1000000,"default":512},"timeoutMs":{"type":"integer","minimum":100,"maximum":3600000,"default":120000}}};
const schema13 = {"type":"string","pattern":"^[a-z0-9][a-z0-9._-]{0,62}$","description":"1 to 63 lower-case letters, digits, dots, underscores and hyphens, starting with a letter or digit."};
const schema14 = {"title":"RouteEntry","type":"object","additionalProperties":false,"required":["path"],"properties":{"path":{"type":"string","pattern":"^/[^?#]*$","maxLength":512,"description":"Path prefix, matched by whole segments."},"methods":{"type":"array","items":{"enum":["GET","HEAD","POST","PUT","PATCH","DELETE"]},"uniqueItems":true},"open":{"type":"boolean","default":false,"description":"Anybody may call the route without a key."},"nonRepeatable":{"type":"boolean","default":false,"description":"A call may run at most once."}}};
const pattern0 = new RegExp("^[a-z0-9][a-z0-9._-]{0,62}$", "u");
const pattern1 = new RegExp("^/[^?#]*$", "u");
const func2 = ucs2length.default ?? ucs2length;
const func0 = equal.default ?? equal;

function validate11(data, {instancePath="", parentData, parentDataProperty, rootData=data}={}){
let vErrors = null;
let errors = 0;
if(data && typeof data == "object" && !Array.isArray(data)){
if(data.defaultOutputTokens === undefined){
data.defaultOutputTokens = 512;
}
if(data.timeoutMs === undefined){
data.timeoutMs = 120000;
}
if(data.name === undefined){
const err0 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "name"},message:"must have required property '"+"name"+"'",schema:schema12.required,parentSchema:schema12,data};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
if(data.kind === undefined){
const err1 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "kind"},message:"must have required property '"+"kind"+"'",schema:schema12.required,parentSchema:schema12,data};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
for(const key0 in data){
if(!((((((key0 === "name") || (key0 === "kind")) || (key0 === "models")) || (key0 === "routes")) || (key0 === "defaultOutputTokens")) || (key0 === "timeoutMs"))){
const err2 = {instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema12,data};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
}
}
if(data.name !== undefined){
let data0 = data.name;
if(typeof data0 === "string"){
if(!pattern0.test(data0)){
const err3 = {instancePath:instancePath+"/name",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema13,data:data0};
if(vErrors === null){
vErrors = [err3];
}
else {
vErrors.push(err3);
}
errors++;
}
}
else {
const err4 = {instancePath:instancePath+"/name",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema13.type,parentSchema:schema13,data:data0};
if(vErrors === null){
vErrors = [err4];
}
else {
vErrors.push(err4);
}
errors++;
}
}
if(data.kind !== undefined){
let data1 = data.kind;
if(!((data1 === "model") || (data1 === "plain"))){
const err5 = {instancePath:instancePath+"/kind",schemaPath:"#/properties/kind/enum",keyword:"enum",params:{allowedValues: schema12.properties.kind.enum},message:"must be equal to one of the allowed values",schema:schema12.properties.kind.enum,parentSchema:schema12.properties.kind,data:data1};
if(vErrors === null){
vErrors = [err5];
}
else {
vErrors.push(err5);
}
errors++;
}
}
if(data.models !== undefined){
let data2 = data.models;
if(Array.isArray(data2)){
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
let data3 = data2[i0];
if(typeof data3 === "string"){
if(func2(data3) > 128){
const err6 = {instancePath:instancePath+"/models/" + i0,schemaPath:"#/properties/models/items/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema12.properties.models.items,data:data3};
if(vErrors === null){
vErrors = [err6];
}
else {
vErrors.push(err6);
}
errors++;
}
if(func2(data3) < 1){
const err7 = {instancePath:instancePath+"/models/" + i0,schemaPath:"#/properties/models/items/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema12.properties.models.items,data:data3};
if(vErrors === null){
vErrors = [err7];
}
else {
vErrors.push(err7);
}
errors++;
}
}
else {
const err8 = {instancePath:instancePath+"/models/" + i0,schemaPath:"#/properties/models/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema12.properties.models.items.type,parentSchema:schema12.properties.models.items,data:data3};
if(vErrors === null){
vErrors = [err8];
}
else {
vErrors.push(err8);
}
errors++;
}
}
let i1 = data2.length;
let j0;
if(i1 > 1){
const indices0 = {};
for(;i1--;){
let item0 = data2[i1];
if(typeof item0 !== "string"){
continue;
}
if(typeof indices0[item0] == "number"){
j0 = indices0[item0];
const err9 = {instancePath:instancePath+"/models",schemaPath:"#/properties/models/uniqueItems",keyword:"uniqueItems",params:{i: i1, j: j0},message:"must NOT have duplicate items (items ## "+j0+" and "+i1+" are identical)",schema:true,parentSchema:schema12.properties.models,data:data2};
if(vErrors === null){
vErrors = [err9];
}
else {
vErrors.push(err9);
}
errors++;
break;
}
indices0[item0] = i1;
}
}
}
else {
const err10 = {instancePath:instancePath+"/models",schemaPath:"#/properties/models/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema12.properties.models.type,parentSchema:schema12.properties.models,data:data2};
if(vErrors === null){
vErrors = [err10];
}
else {
vErrors.push(err10);
}
errors++;
}
}
if(data.routes !== undefined){
let data4 = data.routes;
if(Array.isArray(data4)){
const len1 = data4.length;
for(let i2=0; i2<len1; i2++){
let data5 = data4[i2];
if(data5 && typeof data5 == "object" && !Array.isArray(data5)){
if(data5.open === undefined){
data5.open = false;
}
if(data5.nonRepeatable === undefined){
data5.nonRepeatable = false;
}
if(data5.path === undefined){
const err11 = {instancePath:instancePath+"/routes/" + i2,schemaPath:"#/definitions/route/required",keyword:"required",params:{missingProperty: "path"},message:"must have required property '"+"path"+"'",schema:schema14.required,parentSchema:schema14,data:data5};
if(vErrors === null){
vErrors = [err11];
}
else {
vErrors.push(err11);
}
errors++;
}
for(const key1 in data5){
if(!((((key1 === "path") || (key1 === "methods")) || (key1 === "open")) || (key1 === "nonRepeatable"))){
const err12 = {instancePath:instancePath+"/routes/" + i2,schemaPath:"#/definitions/route/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema14,data:data5};
if(vErrors === null){
vErrors = [err12];
}
else {
vErrors.push(err12);
}
errors++;
}
}
if(data5.path !== undefined){
let data6 = data5.path;
if(typeof data6 === "string"){
if(func2(data6) > 512){
const err13 = {instancePath:instancePath+"/routes/" + i2+"/path",schemaPath:"#/definitions/route/properties/path/maxLength",keyword:"maxLength",params:{limit: 512},message:"must NOT have more than 512 characters",schema:512,parentSchema:schema14.properties.path,data:data6};
if(vErrors === null){
vErrors = [err13];
}
else {
vErrors.push(err13);
}
errors++;
}
if(!pattern1.test(data6)){
const err14 = {instancePath:instancePath+"/routes/" + i2+"/path",schemaPath:"#/definitions/route/properties/path/pattern",keyword:"pattern",params:{pattern: "^/[^?#]*$"},message:"must match pattern \""+"^/[^?#]*$"+"\"",schema:"^/[^?#]*$",parentSchema:schema14.properties.path,data:data6};
if(vErrors === null){
vErrors = [err14];
}
else {
vErrors.push(err14);
}
errors++;
}
}
else {
const err15 = {instancePath:instancePath+"/routes/" + i2+"/path",schemaPath:"#/definitions/route/properties/path/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema14.properties.path.type,parentSchema:schema14.properties.path,data:data6};
if(vErrors === null){
vErrors = [err15];
}
else {
vErrors.push(err15);
}
errors++;
}
}
if(data5.methods !== undefined){
let data7 = data5.methods;
if(Array.isArray(data7)){
const len2 = data7.length;
for(let i3=0; i3<len2; i3++){
let data8 = data7[i3];
if(!((((((data8 === "GET") || (data8 === "HEAD")) || (data8 === "POST")) || (data8 === "PUT")) || (data8 === "PATCH")) || (data8 === "DELETE"))){
const err16 = {instancePath:instancePath+"/routes/" + i2+"/methods/" + i3,schemaPath:"#/definitions/route/properties/methods/items/enum",keyword:"enum",params:{allowedValues: schema14.properties.methods.items.enum},message:"must be equal to one of the allowed values",schema:schema14.properties.methods.items.enum,parentSchema:schema14.properties.methods.items,data:data8};
if(vErrors === null){
vErrors = [err16];
}
else {
vErrors.push(err16);
}
errors++;
}
}
let i4 = data7.length;
let j1;
if(i4 > 1){
outer0:
for(;i4--;){
for(j1 = i4; j1--;){
if(func0(data7[i4], data7[j1])){
const err17 = {instancePath:instancePath+"/routes/" + i2+"/methods",schemaPath:"#/definitions/route/properties/methods/uniqueItems",keyword:"uniqueItems",params:{i: i4, j: j1},message:"must NOT have duplicate items (items ## "+j1+" and "+i4+" are identical)",schema:true,parentSchema:schema14.properties.methods,data:data7};
if(vErrors === null){
vErrors = [err17];
}
else {
vErrors.push(err17);
}
errors++;
break outer0;
}
}
}
}
}
else {
const err18 = {instancePath:instancePath+"/routes/" + i2+"/methods",schemaPath:"#/definitions/route/properties/methods/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema14.properties.methods.type,parentSchema:schema14.properties.methods,data:data7};
if(vErrors === null){
vErrors = [err18];
}
else {
vErrors.push(err18);
}
errors++;
}
}
let data9 = data5.open;
if(typeof data9 !== "boolean"){
const err19 = {instancePath:instancePath+"/routes/" + i2+"/open",schemaPath:"#/definitions/route/properties/open/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema14.properties.open.type,parentSchema:schema14.properties.open,data:data9};
if(vErrors === null){
vErrors = [err19];
}
else {
vErrors.push(err19);
}
errors++;
}
let data10 = data5.nonRepeatable;
if(typeof data10 !== "boolean"){
const err20 = {instancePath:instancePath+"/routes/" + i2+"/nonRepeatable",schemaPath:"#/definitions/route/properties/nonRepeatable/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema14.properties.nonRepeatable.type,parentSchema:schema14.properties.nonRepeatable,data:data10};
if(vErrors === null){
vErrors = [err20];
}
else {
vErrors.push(err20);
}
errors++;
}
}
else {
const err21 = {instancePath:instancePath+"/routes/" + i2,schemaPath:"#/definitions/route/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema14.type,parentSchema:schema14,data:data5};
if(vErrors === null){
vErrors = [err21];
}
else {
vErrors.push(err21);
}
errors++;
}
}
}
else {
const err22 = {instancePath:instancePath+"/routes",schemaPath:"#/properties/routes/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema12.properties.routes.type,parentSchema:schema12.properties.routes,data:data4};
if(vErrors === null){
vErrors = [err22];
}
else {
vErrors.push(err22);
}
errors++;
}
}
let data11 = data.defaultOutputTokens;
if(!(((typeof data11 == "number") && (!(data11 % 1) && !isNaN(data11))) && (isFinite(data11)))){
const err23 = {instancePath:instancePath+"/defaultOutputTokens",schemaPath:"#/properties/defaultOutputTokens/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema12.properties.defaultOutputTokens.type,parentSchema:schema12.properties.defaultOutputTokens,data:data11};
if(vErrors === null){
vErrors = [err23];
}
else {
vErrors.push(err23);
}
errors++;
}
if((typeof data11 == "number") && (isFinite(data11))){
if(data11 > 1000000 || isNaN(data11)){
const err24 = {instancePath:instancePath+"/defaultOutputTokens",schemaPath:"#/properties/defaultOutputTokens/maximum",keyword:"maximum",params:{comparison: "<=", limit: 1000000},message:"must be <= 1000000",schema:1000000,parentSchema:schema12.properties.defaultOutputTokens,data:data11};
if(vErrors === null){
vErrors = [err24];
}
else {
vErrors.push(err24);
}
errors++;
}
if(data11 < 1 || isNaN(data11)){
const err25 = {instancePath:instancePath+"/defaultOutputTokens",schemaPath:"#/properties/defaultOutputTokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema12.properties.defaultOutputTokens,data:data11};
if(vErrors === null){
vErrors = [err25];
}
else {
vErrors.push(err25);
}
errors++;
}
}
let data12 = data.timeoutMs;
if(!(((typeof data12 == "number") && (!(data12 % 1) && !isNaN(data12))) && (isFinite(data12)))){
const err26 = {instancePath:instancePath+"/timeoutMs",schemaPath:"#/properties/timeoutMs/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema12.properties.timeoutMs.type,parentSchema:schema12.properties.timeoutMs,data:data12};
if(vErrors === null){
vErrors = [err26];
}
else {
vErrors.push(err26);
}
errors++;
}
if((typeof data12 == "number") && (isFinite(data12))){
if(data12 > 3600000 || isNaN(data12)){
const err27 = {instancePath:instancePath+"/timeoutMs",schemaPath:"#/properties/timeoutMs/maximum",keyword:"maximum",params:{comparison: "<=", limit: 3600000},message:"must be <= 3600000",schema:3600000,parentSchema:schema12.properties.timeoutMs,data:data12};
if(vErrors === null){
vErrors = [err27];
}
else {
vErrors.push(err27);
}
errors++;
}
if(data12 < 100 || isNaN(data12)){
const err28 = {instancePath:instancePath+"/timeoutMs",schemaPath:"#/properties/timeoutMs/minimum",keyword:"minimum",params:{comparison: ">=", limit: 100},message:"must be >= 100",schema:100,parentSchema:schema12.properties.timeoutMs,data:data12};
if(vErrors === null){
vErrors = [err28];
}
else {
vErrors.push(err28);
}
errors++;
}
}
}
else {
const err29 = {instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema12.type,parentSchema:schema12,data};
if(vErrors === null){
vErrors = [err29];
}
else {
vErrors.push(err29);
}
errors++;
}
validate11.errors = vErrors;
return errors === 0;
}

const schema15 = {"title":"ClientAccountEntry","type":"object","additionalProperties":false,"required":["id","tokensPerSecond","burstTokens","services"],"properties":{"id":{"$ref":"#/definitions/name"},"tokensPerSecond":{"type":"number","exclusiveMinimum":0,"maximum":1000000000},"burstTokens":{"type":"number","exclusiveMinimum":0,"maximum":1000000000},"services":{"type":"array","items":{"$ref":"#/definitions/name"},"uniqueItems":true},"priority":{"type":"integer","minimum":0,"maximum":9,"default":5}}};

function validate13(data, {instancePath="", parentData, parentDataProperty, rootData=data}={}){
let vErrors = null;
let errors = 0;
if(data && typeof data == "object" && !Array.isArray(data)){
if(data.priority === undefined){
data.priority = 5;
}
if(data.id === undefined){
const err0 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "id"},message:"must have required property '"+"id"+"'",schema:schema15.required,parentSchema:schema15,data};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
if(data.tokensPerSecond === undefined){
const err1 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "tokensPerSecond"},message:"must have required property '"+"tokensPerSecond"+"'",schema:schema15.required,parentSchema:schema15,data};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
if(data.burstTokens === undefined){
const err2 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "burstTokens"},message:"must have required property '"+"burstTokens"+"'",schema:schema15.required,parentSchema:schema15,data};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
}
if(data.services === undefined){
const err3 = {instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: "services"},message:"must have required property '"+"services"+"'",schema:schema15.required,parentSchema:schema15,data};
if(vErrors === null){
vErrors = [err3];
}
else {
vErrors.push(err3);
}
errors++;
}
for(const key0 in data){
if(!(((((key0 === "id") || (key0 === "tokensPerSecond")) || (key0 === "burstTokens")) || (key0 === "services")) || (key0 === "priority"))){
const err4 = {instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema15,data};
if(vErrors === null){
vErrors = [err4];
}
else {
vErrors.push(err4);
}
errors++;
}
}
if(data.id !== undefined){
let data0 = data.id;
if(typeof data0 === "string"){
if(!pattern0.test(data0)){
const err5 = {instancePath:instancePath+"/id",schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema13,data:data0};
if(vErrors === null){
vErrors = [err5];
}
else {
vErrors.push(err5);
}
errors++;
}
}
else {
const err6 = {instancePath:instancePath+"/id",schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema13.type,parentSchema:schema13,data:data0};
if(vErrors === null){
vErrors = [err6];
}
else {
vErrors.push(err6);
}
errors++;
}
}
if(data.tokensPerSecond !== undefined){
let data1 = data.tokensPerSecond;
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 > 1000000000 || isNaN(data1)){
const err7 = {instancePath:instancePath+"/tokensPerSecond",schemaPath:"#/properties/tokensPerSecond/maximum",keyword:"maximum",params:{comparison: "<=", limit: 1000000000},message:"must be <= 1000000000",schema:1000000000,parentSchema:schema15.properties.tokensPerSecond,data:data1};
if(vErrors === null){
vErrors = [err7];
}
else {
vErrors.push(err7);
}
errors++;
}
if(data1 <= 0 || isNaN(data1)){
const err8 = {instancePath:instancePath+"/tokensPerSecond",schemaPath:"#/properties/tokensPerSecond/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema15.properties.tokensPerSecond,data:data1};
if(vErrors === null){
vErrors = [err8];
}
else {
vErrors.push(err8);
}
errors++;
}
}
else {
const err9 = {instancePath:instancePath+"/tokensPerSecond",schemaPath:"#/properties/tokensPerSecond/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema15.properties.tokensPerSecond.type,parentSchema:schema15.properties.tokensPerSecond,data:data1};
if(vErrors === null){
vErrors = [err9];
}
else {
vErrors.push(err9);
}
errors++;
}
}
if(data.burstTokens !== undefined){
let data2 = data.burstTokens;
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 > 1000000000 || isNaN(data2)){
const err10 = {instancePath:instancePath+"/burstTokens",schemaPath:"#/properties/burstTokens/maximum",keyword:"maximum",params:{comparison: "<=", limit: 1000000000},message:"must be <= 1000000000",schema:1000000000,parentSchema:schema15.properties.burstTokens,data:data2};
if(vErrors === null){
vErrors = [err10];
}
else {
vErrors.push(err10);
}
errors++;
}
if(data2 <= 0 || isNaN(data2)){
const err11 = {instancePath:instancePath+"/burstTokens",schemaPath:"#/properties/burstTokens/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema15.properties.burstTokens,data:data2};
if(vErrors === null){
vErrors = [err11];
}
else {
vErrors.push(err11);
}
errors++;
}
}
else {
const err12 = {instancePath:instancePath+"/burstTokens",schemaPath:"#/properties/burstTokens/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema15.properties.burstTokens.type,parentSchema:schema15.properties.burstTokens,data:data2};
if(vErrors === null){
vErrors = [err12];
}
else {
vErrors.push(err12);
}
errors++;
}
}
if(data.services !== undefined){
let data3 = data.services;
if(Array.isArray(data3)){
const len0 = data3.length;
for(let i0=0; i0<len0; i0++){
let data4 = data3[i0];
if(typeof data4 === "string"){
if(!pattern0.test(data4)){
const err13 = {instancePath:instancePath+"/services/" + i0,schemaPath:"#/definitions/name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9._-]{0,62}$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9._-]{0,62}$"+"\"",schema:"^[a-z0-9][a-z0-9._-]{0,62}$",parentSchema:schema13,data:data4};
if(vErrors === null){
vErrors = [err13];
}
else {
vErrors.push(err13);
}
errors++;
}
}
else {
const err14 = {instancePath:instancePath+"/services/" + i0,schemaPath:"#/definitions/name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema13.type,parentSchema:schema13,data:data4};
if(vErrors === null){
vErrors = [err14];
}
else {
vErrors.push(err14);
}
errors++;
}
}
let i1 = data3.length;
let j0;
if(i1 > 1){
outer0:
for(;i1--;){
for(j0 = i1; j0--;){
if(func0(data3[i1], data3[j0])){
const err15 = {instancePath:instancePath+"/services",schemaPath:"#/properties/services/uniqueItems",keyword:"uniqueItems",params:{i: i1, j: j0},message:"must NOT have duplicate items (items ## "+j0+" and "+i1+" are identical)",schema:true,parentSchema:schema15.properties.services,data:data3};
if(vErrors === null){
vErrors = [err15];
}
else {
vErrors.push(err15);
}
errors++;
break outer0;
}
}
}
}
}
else {
const err16 = {instancePath:instancePath+"/services",schemaPath:"#/properties/services/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema15.properties.services.type,parentSchema:schema15.properties.services,data:data3};
if(vErrors === null){
vErrors = [err16];
}
else {
vErrors.push(err16);
}
errors++;
}
}
let data5 = data.priority;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
const err17 = {instancePath:instancePath+"/priority",schemaPath:"#/properties/priority/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema15.properties.priority.type,parentSchema:schema15.properties.priority,data:data5};
if(vErrors === null){
vErrors = [err17];
}
else {
vErrors.push(err17);
}
errors++;
}
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 > 9 || isNaN(data5)){
const err18 = {instancePath:instancePath+"/priority",schemaPath:"#/properties/priority/maximum",keyword:"maximum",params:{comparison: "<=", limit: 9},message:"must be <= 9",schema:9,parentSchema:schema15.properties.priority,data:data5};
if(vErrors === null){
vErrors = [err18];
}
else {
vErrors.push(err18);
}
errors++;
}
if(data5 < 0 || isNaN(data5)){
const err19 = {instancePath:instancePath+"/priority",schemaPath:"#/properties/priority/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema15.properties.priority,data:data5};
if(vErrors === null){
vErrors = [err19];
}
else {
vErrors.push(err19);
}
errors++;
}
}
}
else {
const err20 = {instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema15.type,parentSchema:schema15,data};
if(vErrors === null){
vErrors = [err20];
}
else {
vErrors.push(err20);
}
errors++;
}
validate13.errors = vErrors;
return errors === 0;
}


function validate10(data, {instancePath="", parentData, parentDataProperty, rootData=data}={}){
/*# sourceURL="operator.schema.json" */;
let vErrors = null;
let errors = 0;
if(data && typeof data == "object" && !Array.isArray(data)){
for(const key0 in data){
if(!(((key0 === "services") || (key0 === "clientAccounts")) || (key0 === "weights"))){
const err0 = {instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
}
if(data.services !== undefined){
let data0 = data.services;
if(Array.isArray(data0)){
const len0 = data0.length;
for(let i0=0; i0<len0; i0++){
if(!(validate11(data0[i0], {instancePath:instancePath+"/services/" + i0,parentData:data0,parentDataProperty:i0,rootData}))){
vErrors = vErrors === null ? validate11.errors : vErrors.concat(validate11.errors);
errors = vErrors.length;
}
}
}
else {
const err1 = {instancePath:instancePath+"/services",schemaPath:"#/properties/services/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema11.properties.services.type,parentSchema:schema11.properties.services,data:data0};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
}
if(data.clientAccounts !== undefined){
let data2 = data.clientAccounts;
if(Array.isArray(data2)){
const len1 = data2.length;
for(let i1=0; i1<len1; i1++){
if(!(validate13(data2[i1], {instancePath:instancePath+"/clientAccounts/" + i1,parentData:data2,parentDataProperty:i1,rootData}))){
vErrors = vErrors === null ? validate13.errors : vErrors.concat(validate13.errors);
errors = vErrors.length;
}
}
}
else {
const err2 = {instancePath:instancePath+"/clientAccounts",schemaPath:"#/properties/clientAccounts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema11.properties.clientAccounts.type,parentSchema:schema11.properties.clientAccounts,data:data2};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
}
}
if(data.weights !== undefined){
let data4 = data.weights;
if(Array.isArray(data4)){
const len2 = data4.length;
for(let i2=0; i2<len2; i2++){
let data5 = data4[i2];
if(data5 && typeof data5 == "object" && !Array.isArray(data5)){
if(data5.model === undefined){
const err3 = {instancePath:instancePath+"/weights/" + i2,schemaPath:"#/definitions/weights/required",keyword:"required",params:{missingProperty: "model"},message:"must have required property '"+"model"+"'",schema:schema18.required,parentSchema:schema18,data:data5};
if(vErrors === null){
vErrors = [err3];
}
else {
vErrors.push(err3);
}
errors++;
}
if(data5.version === undefined){
const err4 = {instancePath:instancePath+"/weights/" + i2,schemaPath:"#/definitions/weights/required",keyword:"required",params:{missingProperty: "version"},message:"must have required property '"+"version"+"'",schema:schema18.required,parentSchema:schema18,data:data5};
if(vErrors === null){
vErrors = [err4];
}
else {
vErrors.push(err4);
}
errors++;
}
for(const key1 in data5){
if(!((key1 === "model") || (key1 === "version"))){
const err5 = {instancePath:instancePath+"/weights/" + i2,schemaPath:"#/definitions/weights/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema18,data:data5};
if(vErrors === null){
vErrors = [err5];
}
else {
vErrors.push(err5);
}
errors++;
}
}
if(data5.model !== undefined){
let data6 = data5.model;
if(typeof data6 === "string"){
if(func2(data6) > 128){
const err6 = {instancePath:instancePath+"/weights/" + i2+"/model",schemaPath:"#/definitions/weights/properties/model/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema18.properties.model,data:data6};
if(vErrors === null){
vErrors = [err6];
}
else {
vErrors.push(err6);
}
errors++;
}
if(func2(data6) < 1){
const err7 = {instancePath:instancePath+"/weights/" + i2+"/model",schemaPath:"#/definitions/weights/properties/model/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema18.properties.model,data:data6};
if(vErrors === null){
vErrors = [err7];
}
else {
vErrors.push(err7);
}
errors++;
}
}
else {
const err8 = {instancePath:instancePath+"/weights/" + i2+"/model",schemaPath:"#/definitions/weights/properties/model/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema18.properties.model.type,parentSchema:schema18.properties.model,data:data6};
if(vErrors === null){
vErrors = [err8];
}
else {
vErrors.push(err8);
}
errors++;
}
}
if(data5.version !== undefined){
let data7 = data5.version;
if(typeof data7 === "string"){
if(func2(data7) > 128){
const err9 = {instancePath:instancePath+"/weights/" + i2+"/version",schemaPath:"#/definitions/weights/properties/version/maxLength",keyword:"maxLength",params:{limit: 128},message:"must NOT have more than 128 characters",schema:128,parentSchema:schema18.properties.version,data:data7};
if(vErrors === null){
vErrors = [err9];
}
else {
vErrors.push(err9);
}
errors++;
}
if(func2(data7) < 1){
const err10 = {instancePath:instancePath+"/weights/" + i2+"/version",schemaPath:"#/definitions/weights/properties/version/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema18.properties.version,data:data7};
if(vErrors === null){
vErrors = [err10];
}
else {
vErrors.push(err10);
}
errors++;
}
}
else {
const err11 = {instancePath:instancePath+"/weights/" + i2+"/version",schemaPath:"#/definitions/weights/properties/version/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema18.properties.version.type,parentSchema:schema18.properties.version,data:data7};
if(vErrors === null){
vErrors = [err11];
}
else {
vErrors.push(err11);
}
errors++;
}
}
}
else {
const err12 = {instancePath:instancePath+"/weights/" + i2,schemaPath:"#/definitions/weights/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema18.type,parentSchema:schema18,data:data5};
if(vErrors === null){
vErrors = [err12];
}
else {
vErrors.push(err12);
}
errors++;
}
}
}
else {
const err13 = {instancePath:instancePath+"/weights",schemaPath:"#/properties/weights/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema11.properties.weights.type,parentSchema:schema11.properties.weights,data:data4};
if(vErrors === null){
vErrors = [err13];
}
else {
vErrors.push(err13);
}
errors++;
}
}
}
else {
const err14 = {instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema11.type,parentSchema:schema11,data};
if(vErrors === null){
vErrors = [err14];
}
else {
vErrors.push(err14);
}
errors++;
}
validate10.errors = vErrors;
return errors === 0;
}
